"""The request ids that all processes of a proxy have taken, as an optional component of the proxy."""

from __future__ import annotations

from pathlib import Path

from stoatgw.hot_restart.shared_request_ids import SharedRequestIds
from stoatgw.service.component import ServiceComponent
from stoatgw.service.core import ProxyCore


class SharedRequestIdsComponent(ServiceComponent):
    """Refuses an id that another process of this proxy has taken."""

    def __init__(self, core: ProxyCore, folder: str) -> None:
        """Prepare the component; the processes of this proxy share the folder."""
        self._recent_ids = core.context.request_ids
        self._shared_ids = SharedRequestIds(Path(folder), core.context.log)

    def restore(self) -> None:
        """Read the ids that earlier processes have taken."""
        self._shared_ids.load()
        self._recent_ids.share(self._shared_ids)

    def stop(self) -> None:
        """Close the file."""
        self._shared_ids.close()
