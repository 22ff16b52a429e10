"""Hot restart as a part of the proxy."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from stoatgw.hot_restart.hot_restart import POLL_INTERVAL_S, HotRestart
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore
from stoatgw.service.periodic import run_periodically


class HotRestartComponent(ServiceComponent):
    """Agrees with the other processes of this proxy who accepts the clients."""

    def __init__(self, core: ProxyCore) -> None:
        """Prepare the part."""
        self._log = core.context.log
        self._hot_restart = HotRestart(core.state_folder, core.context, core.listener, core.discovery.publisher)

    def is_accepting(self) -> bool:
        """Whether this process accepts the clients now."""
        return self._hot_restart.is_accepting

    def attach(self) -> None:
        """Become visible to the other processes, and accept the clients unless another one does."""
        self._hot_restart.start()

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """The poll that follows the other processes."""
        return (partial(run_periodically, POLL_INTERVAL_S, self._hot_restart.poll, self._log),)

    def is_superseded(self) -> bool:
        """Whether a process that started later accepts the clients."""
        return self._hot_restart.is_superseded()

    def stop(self) -> None:
        """Stop being visible to the other processes."""
        self._hot_restart.stop()
