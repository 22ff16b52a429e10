"""The director: keeps the list of backends, from the last copy known and then from discovery's watch."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import orjson

from stoatgw.backends.backend import Backend, BackendRegistry
from stoatgw.clock import Clock
from stoatgw.config.deployment import Address
from stoatgw.controller.messages import EndpointsUpdated, MessageQueue
from stoatgw.decisions.interface import Endpoint, EndpointUpdate, EndpointUpdateKind, Lifecycle
from stoatgw.discovery.backoff import Backoff
from stoatgw.discovery.endpoint_list import EndpointListError, EndpointListPage, EndpointListParser, Row
from stoatgw.discovery.http import HttpBusyError, HttpError, JsonStreamParser
from stoatgw.sockets import tcp
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

SILENT_S = 2.5  # a watch brings a line every 2 s; one that misses a line is not waited for any longer
PUSHED_ANSWER_S, ASKED_ANSWER_S = 1.0, 1.4  # an agent answers at once; discovery, asked by many, within 2 s
CONNECT_S = 1.0
CALLS_MOST = 3  # open at once, the quiet ones that may speak yet among them


class WatchCall:
    """One call to discovery, open."""

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.heard = False

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()


class DiscoveryClient:
    def __init__(
        self,
        address: Address,
        reader: EndpointListParser,
        backends: BackendRegistry,
        owner: MessageQueue,
        clock: Clock,
        left: Callable[[Backend], None],
        log: EventLog,
        counters: Counters,
        backoff: Backoff,
        answer_s: float = PUSHED_ANSWER_S,
        lay: Callable[[Endpoint], Endpoint] = lambda entry: entry,
    ) -> None:
        self._address, self._reader, self._backends = address, reader, backends
        self._owner, self._clock, self._left = owner, clock, left
        self._log, self._counters, self._backoff, self._lay = log, counters, backoff, lay
        self._answer_s = answer_s  # a call that has said nothing for so long is not waited for any longer
        self._rows: dict[str, Row] = {}  # as discovery told them
        self._version: int | None = None
        self.first_update_us: int | None = None  # when discovery first told anything
        self._calls: list[WatchCall] = []  # oldest first
        self._call_at_s = 0.0  # when another call is due, by the loop's clock
        self._stirred = asyncio.Event()  # that time has changed

    @property
    def endpoint_count(self) -> int:
        """How many session servers the list holds."""
        return len(self._rows)

    def has_endpoint(self, name: str) -> bool:
        return name in self._rows

    def endpoints(self) -> list[Endpoint]:
        """The list as discovery tells it, without what is laid over it."""
        return [entry for entry, _, _ in self._rows.values()]

    def load_snapshot(self, data: Any) -> None:
        """Take the last copy, which may be old."""
        if data is not None:
            self._read(data, EndpointUpdateKind.CACHED)

    def publish_all(self) -> None:
        """Tell the owner the whole list once more."""
        entries = tuple(self._lay(entry) for entry, _, _ in self._rows.values())
        self._owner.post(EndpointsUpdated(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, self._version or 0, entries)))

    def republish(self, names: Iterable[str]) -> None:
        """Tell of these as they are seen now: what is laid over the list has changed."""
        rows = [self._rows[name] for name in names if name in self._rows]
        if rows:
            self._pass_on(rows, EndpointUpdateKind.DELTA)

    def change_address(self, address: Address) -> None:
        """Watch at another address from now on, after the version held; the list is kept meanwhile."""
        if address == self._address:
            return
        self._log.event("discovery_address_changed", **{"from": str(self._address), "to": str(address)})
        self._address = address
        self._keep_only(None)
        self._call_in(0.0)

    async def run(self) -> None:
        """Keep a watch. A call that is quiet is never waited for: another is begun beside it.

        What a silent watch keeps back counts as told after 6 s, and the first call after it may fail as well. But it
        is kept open: an agent that learns nothing while discovery is down tells at once what it gets then. Whichever
        call speaks first is kept alone, since what both of them hold may differ.
        """
        loop = asyncio.get_running_loop()
        self._call_in(0.0 if self._version is None else self._backoff.initial_delay_s())
        try:
            while True:
                if loop.time() >= self._call_at_s:
                    self._begin_call()
                self._stirred.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(self._call_at_s):
                        await self._stirred.wait()
        finally:
            self._keep_only(None)

    def _call_in(self, after_s: float) -> None:
        self._call_at_s = asyncio.get_running_loop().time() + after_s
        self._stirred.set()

    def _keep_only(self, kept: WatchCall | None) -> None:
        for call in self._calls:
            if call is not kept:
                call.close()
        self._calls = [] if kept is None else [kept]

    def _begin_call(self) -> None:
        for call in self._calls[: max(0, len(self._calls) + 1 - CALLS_MOST)]:
            call.close()
            self._calls.remove(call)
        if self._calls:
            self._counters.add("watches_stalled")
            self._log.event("watch_stalled", calls=len(self._calls))
        call = WatchCall()
        self._calls.append(call)
        call.task = asyncio.get_running_loop().create_task(self._run_call(call))
        self._call_in(self._answer_s)

    async def _run_call(self, call: WatchCall) -> None:
        """One call from its connect to its end, which is told only where it was not closed by us."""
        busy = False
        try:
            await self._watch(call)
        except HttpBusyError as error:
            busy = True
            self._counters.add("watches_rejected")
            self._log.event("watch_disconnected", error=repr(error))
        except (OSError, TimeoutError, HttpError) as error:
            self._counters.add("watches_disconnected")
            self._log.event("watch_disconnected", error=repr(error))
        except Exception as error:
            self._counters.add("watches_crashed")
            self._log.event("watch_crashed", error=repr(error))
        if call in self._calls:
            self._calls.remove(call)
            if call.heard:
                self._backoff.reset()
            self._call_in(self._backoff.next_delay_s(busy=busy))

    async def _watch(self, call: WatchCall) -> None:
        loop, http, buffer = asyncio.get_running_loop(), JsonStreamParser(), bytearray(65536)
        after = "" if self._version is None else f"&after={self._version}"
        address = self._address
        sock = tcp.create_socket()
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(sock, (address.host, address.port))
                target = f"GET /v1/endpoints?watch=1{after} HTTP/1.1\r\n"
                host = f"Host: {address.host}:{address.port}\r\n\r\n"
                await loop.sock_sendall(sock, (target + host).encode())
            while not http.done:
                count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    break
                for item in http.feed(bytes(memoryview(buffer)[:count])):
                    if call not in self._calls:
                        return
                    # A missed change could break the drain rule: after a bad object, ask for it anew.
                    if item and not self._object(item):
                        return
                    call.heard = True
                    self._keep_only(call)
                    self._call_in(SILENT_S)
        finally:
            tcp.close(sock)

    def _object(self, item: bytes) -> bool:
        try:
            data = orjson.loads(item)
        except orjson.JSONDecodeError as error:
            return self._bad(str(error))
        return self._read(data, EndpointUpdateKind.DELTA)

    def _read(self, data: Any, kind: EndpointUpdateKind) -> bool:
        """Whether the object was good; a bad one changes nothing, the last list is kept."""
        try:
            page = self._reader.parse_page(data)
        except EndpointListError as error:
            return self._bad(str(error))
        if kind is EndpointUpdateKind.DELTA and page.is_complete:
            kind = EndpointUpdateKind.SNAPSHOT
        if kind is EndpointUpdateKind.DELTA and page.version < (self._version or 0):
            # Changes of a time before ours, or of another count: taken in, a server that drains would serve again.
            self._version = None  # the whole list is asked for next
            return self._bad("the generation went back")
        self._take(page, kind)
        return True

    def _bad(self, why: str) -> bool:
        self._counters.add("endpoint_list_pages_rejected")
        self._log.event("endpoint_list_rejected", why=why[:200])
        return False

    def _take(self, page: EndpointListPage, kind: EndpointUpdateKind) -> None:
        self._counters.add("endpoint_list_pages")
        whole = kind is not EndpointUpdateKind.DELTA
        if whole:
            self._rows = {}
        for row in page.rows:
            self._rows[row[0].name] = row
            if row[0].lifecycle is Lifecycle.REMOVED:
                del self._rows[row[0].name]
        self._version = page.version
        if kind is not EndpointUpdateKind.CACHED and self.first_update_us is None:
            self.first_update_us = self._clock.now_us()
        if page.rows or whole:
            self._log.event("endpoint_list_updated", kind=kind.value, version=page.version, entries=len(page.rows))
            self._pass_on(page.rows, kind)

    def _pass_on(self, rows: Sequence[Row], kind: EndpointUpdateKind) -> None:
        laid = [(self._lay(entry), host, port) for entry, host, port in rows]
        for backend in self._backends.update(laid, kind is not EndpointUpdateKind.DELTA, self._clock.now_us()):
            self._left(backend)
        self._owner.post(
            EndpointsUpdated(EndpointUpdate(kind, self._version or 0, tuple(entry for entry, _, _ in laid)))
        )
