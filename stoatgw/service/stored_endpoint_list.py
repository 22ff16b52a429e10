"""The stored endpoint list as an optional component of the proxy."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from pathlib import Path

from stoatgw.discovery.stored_list import EndpointListFile, EndpointListStore
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore
from stoatgw.service.periodic import run_periodically

POLL_INTERVAL_S = 0.1


class StoredEndpointListComponent(ServiceComponent):
    """Starts with the endpoint list that an earlier process of this proxy was sent, and stores it for the next one."""

    def __init__(self, core: ProxyCore, folder: str) -> None:
        """Prepare the component; the processes of this proxy share the folder."""
        self._discovery = core.discovery
        self._log = core.context.log
        self._store = EndpointListStore(EndpointListFile(Path(folder)), core.context.log)

    def restore(self) -> None:
        """Let the discovery client use the stored list."""
        self._discovery.use_storage(self._store)

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """Return the task that repeats failed writes, and reads what a sibling process was sent."""
        return (partial(run_periodically, POLL_INTERVAL_S, self._discovery.poll_storage, self._log),)
