"""Where a proxy stands between serving and its end: pure. PING, readyz, the door and the moves all read it."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    SERVING = "serving"
    DRAINING = "draining"  # sent away by hand: clients leave, the process stays, and may serve again
    STOPPING = "stopping"  # on SIGTERM: nothing leads back


class ProxyLifecycle:
    """One direction by signal, both by hand. Each call says whether it is carried out now or was before."""

    def __init__(self) -> None:
        self.state = LifecycleState.SERVING
        self.is_handed_over = False  # while stopping: another process of this proxy takes the clients

    @property
    def accepts_clients(self) -> bool:
        """Whether a client that comes to this proxy's address is served, be it by another process."""
        return self.is_serving or self.is_handed_over

    @property
    def is_serving(self) -> bool:
        return self.state is LifecycleState.SERVING

    def begin_drain(self) -> bool:
        """Whether this call begins it: a second drain, or one while stopping, begins nothing."""
        began = self.is_serving
        if began:
            self.state = LifecycleState.DRAINING
        return began

    def resume_serving(self) -> bool:
        """Whether the proxy serves from now on; not while stopping."""
        if self.state is LifecycleState.DRAINING:
            self.state = LifecycleState.SERVING
        return self.is_serving

    def begin_shutdown(self, *, handed_over: bool) -> None:
        self.state, self.is_handed_over = LifecycleState.STOPPING, handed_over
