"""The lifecycle state of a proxy, which PING, readyz, the listener and migrations all read. Pure."""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """The states of a proxy; the values appear in the management API's responses."""

    SERVING = "serving"
    DRAINING = "draining"  # by an operator: sessions migrate, the process keeps running and can serve again
    STOPPING = "stopping"  # by SIGTERM: not reversible


class ProxyLifecycle:
    """The state of one proxy process. An operator can begin and cancel a drain; a shutdown cannot be cancelled.

    Attributes:
        state: The current state.
        is_handed_over: Whether, while stopping, another process of this proxy accepts its clients.
    """

    def __init__(self) -> None:
        self.state = LifecycleState.SERVING
        self.is_handed_over = False

    @property
    def accepts_clients(self) -> bool:
        """Whether clients that connect to this proxy's address are served, by this process or by another."""
        return self.is_serving or self.is_handed_over

    @property
    def is_serving(self) -> bool:
        """Whether the proxy is neither draining nor stopping."""
        return self.state is LifecycleState.SERVING

    def begin_drain(self) -> bool:
        """Begin a drain, if the proxy is serving.

        Returns:
            Whether this call began the drain; False if the proxy was already draining or stopping.
        """
        if not self.is_serving:
            return False
        self.state = LifecycleState.DRAINING
        return True

    def resume_serving(self) -> bool:
        """Cancel a drain.

        Returns:
            Whether the proxy is serving now; False while it is stopping.
        """
        if self.state is LifecycleState.DRAINING:
            self.state = LifecycleState.SERVING
        return self.is_serving

    def begin_shutdown(self, *, handed_over: bool) -> None:
        """Begin the shutdown; `handed_over`: another process of this proxy accepts its clients."""
        self.state = LifecycleState.STOPPING
        self.is_handed_over = handed_over
