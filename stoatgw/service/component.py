"""The interface of a proxy's optional components."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any

BackgroundTask = Callable[[], Coroutine[Any, Any, None]]


class ServiceComponent:
    """An optional component of a proxy. Each method does nothing unless the component overrides it.

    The service calls them in the order in which they are defined, all from its own task. A fault of a background task
    that ends it shuts the proxy down: an action that may fail occasionally runs under `run_periodically`, or the
    component logs the failure itself.
    """

    def restore(self) -> None:
        """Restore what outlived an earlier process; called before the first endpoint list is loaded.

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
        """Return whether another process of this proxy accepts the clients from now on; called when shutdown begins."""
        return False

    def begin_shutdown(self) -> None:
        """Begin to wind down; called once the drain has begun. Clients are still served after it."""

    def stop(self) -> None:
        """Stop immediately; called in reverse order when the drain is over. The process ends after it."""
