"""The operators' suspensions: changed by management requests and by the shared file, and passed to the applier."""

from __future__ import annotations

from pathlib import Path

from stoatgw.atomic_file import FileVersion
from stoatgw.clock import Clock
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.suspension.applier import SuspensionApplier
from stoatgw.suspension.overrides import Suspensions, SuspensionSource
from stoatgw.suspension.store import SuspensionStore, SuspensionStoreError
from stoatgw.telemetry.log import EventLog

POLL_INTERVAL_S = 0.2  # a change made through another process of this proxy takes effect here within this time


class SuspensionNotPersistedError(Exception):
    """A server is suspended, but only in this process; the message gives the reason."""


class StillSuspendedError(Exception):
    """A server could not be resumed; the message gives the reason."""


class SuspensionService:
    """Suspends and resumes session servers for an operator, in all processes of this proxy."""

    def __init__(
        self, folder: str | None, applier: SuspensionApplier, publisher: EndpointPublisher, clock: Clock, log: EventLog
    ) -> None:
        """Prepare the service.

        Args:
            folder: Folder of the shared file; with None, suspensions apply only to this process.
            applier: Applies the suspensions.
            publisher: Knows which session servers are in the endpoint list.
            clock: Provides the time at which a server is suspended.
            log: Receives an event for each failure to read or write the shared file.
        """
        self._store = SuspensionStore(Path(folder)) if folder else None
        self._applier = applier
        self._overrides = applier.overrides
        self._publisher = publisher
        self._clock = clock
        self._log = log
        self._applied_version: FileVersion | None = None  # taken before the read; only `poll` sets it
        self._last_read_failure = ""
        self._unsaved: dict[str, int] = {}  # suspensions that could not be saved: they apply to this process alone

    def start(self) -> None:
        """Restore the suspensions from before this process started; to be called before the first endpoint list."""
        if self._store is None:
            self._log.event("suspension_write_failed", error="TMPDIR is not set")
        self.poll()

    def has_server(self, server: str) -> bool:
        """Return whether a session server is in the endpoint list or suspended."""
        return self._publisher.has_endpoint(server) or server in self._overrides.suspensions

    def suspend(self, server: str) -> None:
        """Suspend a server from now on.

        Raises:
            SuspensionNotPersistedError: It is suspended, but only in this process and until the process ends.
        """
        if self._store is None:
            self._suspend_unsaved(server)
            return
        try:
            suspensions = self._store.suspend(server, self._suspended_since_us(server))
        except SuspensionStoreError as error:
            self._log.event("suspension_write_failed", error=str(error))
            self._suspend_unsaved(server)
            raise SuspensionNotPersistedError(str(error)) from error
        self._unsaved.pop(server, None)
        self._apply(suspensions)

    def _suspended_since_us(self, server: str) -> int:
        return self._overrides.suspensions_from(SuspensionSource.OPERATOR).get(server, self._clock.now_us())

    def _suspend_unsaved(self, server: str) -> None:
        suspensions = self._overrides.suspensions_from(SuspensionSource.OPERATOR)
        if server not in suspensions:  # otherwise it is saved, and any process may resume it
            self._unsaved[server] = self._clock.now_us()
        self._apply(suspensions)

    def resume(self, server: str) -> None:
        """Resume a server from now on.

        Raises:
            StillSuspendedError: The shared file cannot be changed, or a maintenance keeps the server suspended.
        """
        suspensions = dict(self._overrides.suspensions_from(SuspensionSource.OPERATOR))
        suspensions.pop(server, None)
        if self._store is not None:
            try:
                suspensions = self._store.resume(server)
            except SuspensionStoreError as error:
                self._log.event("suspension_write_failed", error=str(error))
                raise StillSuspendedError(str(error)) from error
        self._unsaved.pop(server, None)
        self._apply(suspensions)
        if server in self._overrides.suspensions:
            raise StillSuspendedError("the maintenance has it out")

    def poll(self) -> None:
        """Apply what another process of this proxy has changed; to be called every POLL_INTERVAL_S."""
        if self._store is None:
            return
        version = self._store.version()
        if version == self._applied_version:
            return
        try:
            suspensions = self._store.load()
        except SuspensionStoreError as error:  # servers suspended in this process stay suspended
            self._log_read_failure(error)
            return
        self._last_read_failure = ""
        self._log.event("suspensions_read", backends=sorted(suspensions))
        self._apply(suspensions)
        self._applied_version = version

    def _log_read_failure(self, error: SuspensionStoreError) -> None:
        """Log a failure that recurs at each poll only once while it lasts."""
        if self._last_read_failure != str(error):
            self._last_read_failure = str(error)
            self._log.event("suspension_read_failed", error=str(error))

    def _apply(self, suspensions: Suspensions) -> None:
        """Apply the suspensions, and with them those that this process could not save."""
        self._applier.apply({**self._unsaved, **suspensions}, SuspensionSource.OPERATOR)
