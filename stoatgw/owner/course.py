"""Where a proxy stands between serving and its end: pure. PING, readyz, the door and the moves all read it."""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    SERVING = "serving"
    DRAINING = "draining"  # sent away by hand: clients leave, the process stays, and may serve again
    STOPPING = "stopping"  # on SIGTERM: nothing leads back


class Course:
    """One direction by signal, both by hand. Each call says whether it is carried out now or was before."""

    def __init__(self) -> None:
        self.stage = Stage.SERVING
        self.handed_over = False  # while stopping: another process of this proxy takes the clients

    @property
    def lets_in(self) -> bool:
        """Whether a client that comes to this proxy's address is served, be it by another process."""
        return self.serving or self.handed_over

    @property
    def serving(self) -> bool:
        return self.stage is Stage.SERVING

    def drain(self) -> bool:
        """Whether this call begins it: a second drain, or one while stopping, begins nothing."""
        began = self.serving
        if began:
            self.stage = Stage.DRAINING
        return began

    def activate(self) -> bool:
        """Whether the proxy serves from now on; not while stopping."""
        if self.stage is Stage.DRAINING:
            self.stage = Stage.SERVING
        return self.serving

    def stop(self, *, handed_over: bool) -> None:
        self.stage, self.handed_over = Stage.STOPPING, handed_over
