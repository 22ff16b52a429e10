"""Carries out a hot restart: switches accepting on and off, and accounts for the descriptors of sibling processes."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from stoatgw.clients.context import ProxyContext
from stoatgw.clients.listener import Listener
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.hot_restart.handover import is_newer_sibling_accepting, may_start_accepting
from stoatgw.hot_restart.sibling_processes import ProcessRecord, SiblingProcesses

POLL_INTERVAL_S = 0.1
BASE_DESCRIPTORS = 24  # descriptors of a process in addition to those of its clients

READ_FAILED = "siblings_read_failed"
PUBLISH_FAILED = "sibling_publish_failed"


class HotRestart:
    """Coordinates this process with the other processes of its proxy."""

    def __init__(
        self, folder: str | None, context: ProxyContext, listener: Listener, publisher: EndpointPublisher
    ) -> None:
        """Prepare the hot restart; `start` registers this process.

        Args:
            folder: Folder in which the processes of this proxy find one another; with None there are no siblings.
            context: What the proxy's sessions share.
            listener: The clients' listener, which is switched on and off here.
            publisher: Knows when discovery itself first sent the endpoint list.
        """
        self._context = context
        self._listener = listener
        self._publisher = publisher
        self._log = context.log
        self._processes = SiblingProcesses(Path(folder)) if folder else None
        self._own_record = ProcessRecord(is_accepting=False, since_us=0, descriptors=BASE_DESCRIPTORS)
        self._siblings: list[ProcessRecord] = []
        self._ongoing_failures: dict[str, str] = {}  # errors by log event: each is logged once while it lasts
        self.is_accepting = False
        """Whether this process accepts client connections now."""

    def start(self) -> None:
        """Register this process, and accept client connections unless a sibling still does."""
        self._own_record = replace(self._own_record, since_us=self._context.clock.now_us())
        self._join()
        self._read_siblings()
        if any(sibling.is_accepting for sibling in self._siblings):
            self._log.event("sibling_detected", others=len(self._siblings))
            self._listener.set_accepting(False)
        else:
            self._start_accepting()

    def poll(self) -> None:
        """React to the siblings' state; to be called every POLL_INTERVAL_S."""
        self._read_siblings()
        descriptors = BASE_DESCRIPTORS + self._context.descriptor_limiter.descriptors_held
        if descriptors != self._own_record.descriptors:
            self._own_record = replace(self._own_record, descriptors=descriptors)
            self._publish()
        if self._own_record.is_accepting:
            self._yield_or_resume()
        else:
            self._take_over_if_due()

    def is_superseded(self) -> bool:
        """Return whether a sibling that started later accepts client connections."""
        self._read_siblings()
        return is_newer_sibling_accepting(self._own_record, self._siblings)

    def stop(self) -> None:
        """Remove this process's registration, as the process ends."""
        if self._processes is not None:
            self._processes.leave()

    # Accepting client connections.

    def _start_accepting(self) -> None:
        # Each process's clock keeps the Unix time of its start: after the system clock was set back, the time of the
        # process that accepts now is later. The process that takes over counts as the newer one all the same.
        newest_us = max((sibling.since_us for sibling in self._siblings if sibling.is_accepting), default=0)
        since_us = max(self._context.clock.now_us(), newest_us + 1)
        self._own_record = replace(self._own_record, is_accepting=True, since_us=since_us)
        self._publish()
        self.is_accepting = True
        self._listener.set_accepting(True)

    def _take_over_if_due(self) -> None:
        now_us = self._context.clock.now_us()
        has_endpoints = self._context.backends.has_endpoints
        # This process does not accept because a sibling did; if no sibling accepts any more, that one has ended.
        no_sibling_accepts = not any(sibling.is_accepting for sibling in self._siblings)
        if (no_sibling_accepts and has_endpoints) or may_start_accepting(
            self._own_record.since_us, self._publisher.first_update_us, has_endpoints=has_endpoints, now_us=now_us
        ):
            self._log.event("accepting_taken_over", others=len(self._siblings))
            self._start_accepting()

    def _yield_or_resume(self) -> None:
        """Stop accepting when a sibling that began later accepts, and resume if that sibling ends."""
        if not self._context.lifecycle.is_serving:
            return
        should_accept = not is_newer_sibling_accepting(self._own_record, self._siblings)
        if should_accept == self.is_accepting:
            return
        self.is_accepting = should_accept
        if should_accept:
            self._log.event("accepting_resumed")
        else:
            self._log.event("accepting_yielded")
        self._listener.set_accepting(should_accept)

    # The shared folder.

    def _join(self) -> None:
        if self._processes is None:
            self._log.event(READ_FAILED, error="TMPDIR is not set")
            return
        try:
            self._processes.join(self._own_record)
        except OSError as error:
            self._log.event(READ_FAILED, error=str(error))
            self._processes = None

    def _publish(self) -> None:
        if self._processes is None:
            return
        try:
            self._processes.publish(self._own_record)
        except OSError as error:
            self._log_once(PUBLISH_FAILED, error)
        else:
            self._ongoing_failures.pop(PUBLISH_FAILED, None)

    def _read_siblings(self) -> None:
        if self._processes is None:
            return
        try:
            self._siblings = self._processes.read_siblings()
        except OSError as error:
            self._log_once(READ_FAILED, error)
            self._siblings = []
        else:
            self._ongoing_failures.pop(READ_FAILED, None)
        held_by_siblings = sum(sibling.descriptors for sibling in self._siblings)
        self._context.descriptor_limiter.held_by_siblings = held_by_siblings

    def _log_once(self, event: str, error: OSError) -> None:
        """Log a failure that recurs at each poll only once while it lasts."""
        if self._ongoing_failures.get(event) != str(error):
            self._ongoing_failures[event] = str(error)
            self._log.event(event, error=str(error))
