"""The interface of a proxy's optional components."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any

BackgroundTask = Callable[[], Coroutine[Any, Any, None]]


class ServiceComponent:
    """An optional component of a proxy. By default each method does nothing.

    The service calls the methods in the order in which they are defined here, all from its own task. An exception that
    ends a background task shuts the proxy down, so an action that may fail now and then has to run under
    `run_periodically`, or the component has to log the failure itself.
    """

    def restore(self) -> None:
        """Restore the state that an earlier process stored; called before the first endpoint list is loaded.

        Raises:
            ConfigError: The component cannot run as configured.
        """

    def attach(self) -> None:
        """Connect the component to the proxy; called once the clients' listener is bound, before any task runs.

        Raises:
            ConfigError: The component cannot run as configured.
        """

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """Return the functions that each run as a task, from the start of the proxy to the end of its process."""
        return ()

    def is_superseded(self) -> bool:
        """Return whether another process of this proxy has taken over the clients; called when shutdown begins."""
        return False

    def begin_shutdown(self) -> None:
        """Start to release what the component holds; called once the drain has begun, while clients are served."""

    def stop(self) -> None:
        """Stop immediately; called in reverse order after the drain, just before the process ends."""
