"""Hot restart as an optional component of the proxy."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from stoatgw.hot_restart.hot_restart import POLL_INTERVAL_S, HotRestart
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore
from stoatgw.service.periodic import run_periodically


class HotRestartComponent(ServiceComponent):
    """Agrees with the other processes of this proxy which of them accepts client connections."""

    def __init__(self, core: ProxyCore) -> None:
        """Prepare the component."""
        self._log = core.context.log
        self._hot_restart = HotRestart(core.state_folder, core.context, core.listener, core.discovery.publisher)

    def is_accepting(self) -> bool:
        """Return whether this process accepts client connections now."""
        return self._hot_restart.is_accepting

    def attach(self) -> None:
        """Register with the other processes, and accept client connections unless another process does."""
        self._hot_restart.start()

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """Return the task that polls the state of the other processes."""
        return (partial(run_periodically, POLL_INTERVAL_S, self._hot_restart.poll, self._log),)

    def is_superseded(self) -> bool:
        """Return whether a process that started later accepts client connections."""
        return self._hot_restart.is_superseded()

    def stop(self) -> None:
        """Remove this process's registration."""
        self._hot_restart.stop()
