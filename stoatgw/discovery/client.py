"""The discovery client: keeps a watch of the endpoint list open and passes its pages to the publisher."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import orjson

from stoatgw.config.deployment import Address
from stoatgw.decisions.interface import EndpointUpdateKind
from stoatgw.discovery.backoff import Backoff
from stoatgw.discovery.endpoint_list import EndpointListError, EndpointListParser
from stoatgw.discovery.http import HttpBusyError, HttpError
from stoatgw.discovery.publisher import EndpointPublisher
from stoatgw.discovery.storage import NoStorage, Storage
from stoatgw.discovery.watch_call import WatchCall, WatchState
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

WATCH_SILENCE_TIMEOUT_S = 2.5  # a watch receives a line every 2 s; one that misses a line has stalled
MAX_OPEN_CALLS = 3  # including stalled ones, which may still recover
MAX_LOGGED_REASON_CHARS = 200


class DiscoveryClient:
    """Keeps the endpoint list up to date: first from a cached copy, then from discovery's watch."""

    def __init__(
        self,
        address: Address,
        parser: EndpointListParser,
        publisher: EndpointPublisher,
        backoff: Backoff,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Prepare the client; `run` opens the watch."""
        self._address = address
        self._parser = parser
        self._backoff = backoff
        self._log = log
        self._counters = counters
        self._calls: list[WatchCall] = []  # the open ones, oldest first
        self._next_call_at_s = 0.0  # by the loop's clock
        self._rescheduled = asyncio.Event()
        self._storage: Storage = NoStorage()
        self.publisher = publisher
        """The holder of the endpoint list."""

    def use_storage(self, storage: Storage) -> None:
        """Store each list that discovery sends, and start with the stored one; to be called before `load_snapshot`."""
        self._storage = storage

    def load_snapshot(self, data: Any) -> None:
        """Start with a cached copy of the list, which may be outdated, or with a newer stored list.

        Args:
            data: The configured copy, in discovery's form; None if there is none.
        """
        newest = self._storage.load_newest(data)
        if newest is None or self._apply_page(newest, EndpointUpdateKind.CACHED) or newest is data:
            return
        if data is not None:
            self._apply_page(data, EndpointUpdateKind.CACHED)

    def poll_storage(self) -> None:
        """Store what could not be stored before; load what a sibling process was sent until discovery answers here."""
        self._storage.retry()
        if self.publisher.first_update_us is None:
            stored = self._storage.load_changed(self.publisher.version)
            if stored is not None:
                self._apply_page(stored, EndpointUpdateKind.CACHED)

    def change_address(self, address: Address) -> None:
        """Watch at another address from now on, for changes after the current version; the list is kept meanwhile."""
        if address == self._address:
            return
        self._log.event("discovery_address_changed", **{"from": str(self._address), "to": str(address)})
        self._address = address
        self._close_calls()
        self._schedule_call(0.0)

    async def run(self) -> None:
        """Keep a watch open until cancelled.

        A stalled call is never waited for: another one is opened in parallel, since a change that a silent watch
        withholds counts as notified after `NOTIFICATION_DEADLINE_S`, and the next call may fail as well. But the
        stalled call stays open: an agent that receives nothing while discovery is down sends a change as soon as it
        gets one afterwards. Only the call that receives something first is kept, since two calls may send different
        states of the list.
        """
        loop = asyncio.get_running_loop()
        has_snapshot = self.publisher.version is not None
        self._schedule_call(self._backoff.initial_delay_s() if has_snapshot else 0.0)
        try:
            while True:
                if loop.time() >= self._next_call_at_s:
                    self._start_call()
                self._rescheduled.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(self._next_call_at_s):
                        await self._rescheduled.wait()
        finally:
            self._close_calls()

    # Calls.

    def _schedule_call(self, delay_s: float) -> None:
        """Open another call after the delay, unless that is rescheduled before."""
        self._next_call_at_s = asyncio.get_running_loop().time() + delay_s
        self._rescheduled.set()

    def _close_calls(self, *, keep: WatchCall | None = None) -> None:
        for call in self._calls:
            if call is not keep:
                call.close()
        self._calls = [] if keep is None else [keep]

    def _start_call(self) -> None:
        while len(self._calls) >= MAX_OPEN_CALLS:
            self._calls.pop(0).close()
        if self._calls:
            self._counters.add("watches_stalled")
            self._log.event("watch_stalled", calls=len(self._calls))
        call = WatchCall(self._on_item)
        self._calls.append(call)
        call.start(self._run_call(call))
        self._schedule_call(self._backoff.response_timeout_s)

    async def _run_call(self, call: WatchCall) -> None:
        """Run one call to its end; schedule the next one, unless this client has closed the call."""
        is_overloaded = False
        try:
            await call.receive(self._address, self.publisher.version)
        except HttpBusyError as error:
            is_overloaded = True
            self._counters.add("watches_rejected")
            self._log.event("watch_disconnected", error=repr(error))
        except (OSError, HttpError) as error:
            self._counters.add("watches_disconnected")
            self._log.event("watch_disconnected", error=repr(error))
        except Exception as error:
            self._counters.add("watches_crashed")
            self._log.event("watch_crashed", error=repr(error))
        if call.state is WatchState.CLOSED:
            return
        self._calls.remove(call)
        if call.state is WatchState.STREAMING:
            self._backoff.reset()
        self._schedule_call(self._backoff.next_delay_s(overloaded=is_overloaded))

    def _on_item(self, call: WatchCall, item: bytes) -> bool:
        """Apply an object of a call, or record a keep-alive (b""); return whether the call may continue.

        After an invalid object the call ends and the change is requested again: without it, requests could be sent to a
        server after its drain grace.
        """
        if item and not self._apply_object(item):
            return False
        self._close_calls(keep=call)
        self._schedule_call(WATCH_SILENCE_TIMEOUT_S)
        return True

    # Pages.

    def _apply_object(self, item: bytes) -> bool:
        try:
            data = orjson.loads(item)
        except orjson.JSONDecodeError as error:
            self._reject_page(str(error))
            return False
        return self._apply_page(data, EndpointUpdateKind.DELTA)

    def _apply_page(self, data: Any, kind: EndpointUpdateKind) -> bool:
        """Publish an object of the list; return False for an invalid one, which changes nothing."""
        try:
            page = self._parser.parse_page(data)
        except EndpointListError as error:
            self._reject_page(str(error))
            return False
        if kind is EndpointUpdateKind.DELTA and page.is_complete:
            kind = EndpointUpdateKind.SNAPSHOT
        if kind is EndpointUpdateKind.DELTA and page.version < (self.publisher.version or 0):
            # Changes that are older than the current version, or from another sequence of versions: if applied, they
            # could make a draining server active again.
            self.publisher.version = None
            self._reject_page("generation: lower than the current one")
            return False
        self._counters.add("endpoint_list_pages")
        self._storage.record(data, kind)
        self.publisher.apply(page, kind)
        return True

    def _reject_page(self, reason: str) -> None:
        self._counters.add("endpoint_list_pages_rejected")
        self._log.event("endpoint_list_rejected", why=reason[:MAX_LOGGED_REASON_CHARS])
