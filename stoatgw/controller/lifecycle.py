"""Whether a proxy serves, drains or stops: pure. PING, readyz, the listener and migrations all read it here."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """The states of a proxy; the values are what the management API answers."""

    SERVING = "serving"
    DRAINING = "draining"  # by an operator: clients migrate, the process stays and may serve again
    STOPPING = "stopping"  # by SIGTERM: final


class ProxyLifecycle:
    """The state of one proxy process. An operator may begin and cancel a drain; a shutdown is final.

    Attributes:
        state: The current state.
        is_handed_over: While stopping: another process of this proxy accepts its clients.
    """

    def __init__(self) -> None:
        self.state = LifecycleState.SERVING
        self.is_handed_over = False

    @property
    def accepts_clients(self) -> bool:
        """Whether a client that connects to this proxy's address is served, be it by another process."""
        return self.is_serving or self.is_handed_over

    @property
    def is_serving(self) -> bool:
        """Whether the proxy neither drains nor stops."""
        return self.state is LifecycleState.SERVING

    def begin_drain(self) -> bool:
        """Drains a proxy that serves.

        Returns:
            Whether this call began the drain: a second one, or one while stopping, begins nothing.
        """
        if not self.is_serving:
            return False
        self.state = LifecycleState.DRAINING
        return True

    def resume_serving(self) -> bool:
        """Cancels a drain.

        Returns:
            Whether the proxy serves from now on: not while it stops.
        """
        if self.state is LifecycleState.DRAINING:
            self.state = LifecycleState.SERVING
        return self.is_serving

    def begin_shutdown(self, *, handed_over: bool) -> None:
        """Stops the proxy; `handed_over`: another process of it accepts its clients."""
        self.state = LifecycleState.STOPPING
        self.is_handed_over = handed_over
