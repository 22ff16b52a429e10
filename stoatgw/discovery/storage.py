"""What the discovery client stores of the endpoint list; without a folder that outlives the process, nothing."""

from __future__ import annotations

from typing import Any, Protocol

from stoatgw.decisions.interface import EndpointUpdateKind


class Storage(Protocol):
    """Stores the endpoint list for the proxy's next process. No method raises an error of the file system."""

    def load_newest(self, known: Any) -> Any:
        """Return the newer of `known`, the configured copy of the list, and the stored list; None without either."""

    def load_changed(self, version: int | None) -> Any:
        """Return the stored list if another process has replaced it by one newer than `version`, otherwise None."""

    def record(self, page: Any, kind: EndpointUpdateKind) -> None:
        """Apply a valid page, and store the list if discovery itself has sent the page."""

    def retry(self) -> None:
        """Store the list if that has failed before."""


class NoStorage:
    """Stores nothing."""

    def load_newest(self, known: Any) -> Any:
        """Return the configured copy."""
        return known

    def load_changed(self, version: int | None) -> Any:
        """Return None."""
        return None

    def record(self, page: Any, kind: EndpointUpdateKind) -> None:
        """Do nothing."""

    def retry(self) -> None:
        """Do nothing."""
