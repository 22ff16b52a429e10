"""The director: keeps the list of backends, from the last copy known and then from discovery's watch."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import orjson

from stoatgw.backends.backend import Backend, Backends
from stoatgw.config.deployment import Address
from stoatgw.decisions.interface import Lifecycle, ListKind, ListUpdate, ServerEntry
from stoatgw.director.backoff import Backoff
from stoatgw.director.http import HttpBusyError, HttpError, HttpLines
from stoatgw.director.list import ListError, ListReader, Page, Row
from stoatgw.owner.clock import Clock
from stoatgw.owner.messages import Listed
from stoatgw.owner.owner import Owner
from stoatgw.sockets import calls
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

# A watch brings a line every 2 s, and what it kept back counts as told after 6 s: one that is silent for two lines
# and more is dead, and a new one has answered by then, also where the drain's grace after that is short.
SILENT_S = 4.5
ANSWER_S = 2.5  # discovery answers or turns away a call within 2 s
CONNECT_S = 1.0


class Director:
    def __init__(
        self,
        address: Address,
        reader: ListReader,
        backends: Backends,
        owner: Owner,
        clock: Clock,
        left: Callable[[Backend], None],
        log: EventLog,
        counters: Counters,
        backoff: Backoff,
        lay: Callable[[ServerEntry], ServerEntry] = lambda entry: entry,
    ) -> None:
        self._address, self._reader, self._backends = address, reader, backends
        self._owner, self._clock, self._left = owner, clock, left
        self._log, self._counters, self._backoff, self._lay = log, counters, backoff, lay
        self._rows: dict[str, Row] = {}  # as discovery told them
        self._version: int | None = None
        self.told_us: int | None = None  # when discovery first told anything
        self._stay = asyncio.timeout(None)  # ends early when the address changes

    @property
    def listed(self) -> int:
        """How many session servers the list holds."""
        return len(self._rows)

    def lists(self, name: str) -> bool:
        return name in self._rows

    def entries(self) -> list[ServerEntry]:
        """The list as discovery tells it, without what is laid over it."""
        return [entry for entry, _, _ in self._rows.values()]

    def known(self, data: Any) -> None:
        """Take the last copy, which may be old."""
        if data is not None:
            self._read(data, ListKind.DISK)

    def tell_all(self) -> None:
        """Tell the owner the whole list once more."""
        entries = tuple(self._lay(entry) for entry, _, _ in self._rows.values())
        self._owner.put(Listed(ListUpdate(ListKind.SNAPSHOT, self._version or 0, entries)))

    def tell_again(self, names: Iterable[str]) -> None:
        """Tell of these as they are seen now: what is laid over the list has changed."""
        rows = [self._rows[name] for name in names if name in self._rows]
        if rows:
            self._pass_on(rows, ListKind.DIFF)

    def move_to(self, address: Address) -> None:
        """Watch at another address from now on, after the version held; the list is kept meanwhile."""
        if address == self._address:
            return
        self._address = address
        with contextlib.suppress(RuntimeError):  # not entered yet: it begins at the new address
            self._stay.reschedule(0.0)

    async def run(self) -> None:
        if self._version is not None:
            await asyncio.sleep(self._backoff.begin_s())
        while True:
            address = self._address
            # Guards against a pause or a connect under way that would outlast the move: news that the
            # new address has counts as told within seconds.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(None) as self._stay:
                    await self._keep_watching()
            self._log.event("watch_moved", **{"from": str(address), "to": str(self._address)})

    async def _keep_watching(self) -> None:
        while True:
            busy = False
            try:
                if await self._watch():
                    self._backoff.answered()
            except HttpBusyError as error:
                busy = True
                self._counters.add("watch_busy")
                self._log.event("watch_lost", error=repr(error))
            except (OSError, TimeoutError, HttpError) as error:
                self._counters.add("watch_failures")
                self._log.event("watch_lost", error=repr(error))
            except Exception as error:
                self._counters.add("watch_faults")
                self._log.event("watch_fault", error=repr(error))
            await asyncio.sleep(self._backoff.next_s(busy=busy))

    async def _watch(self) -> bool:
        """One watch until it ends; whether it brought anything."""
        loop, http, buffer, heard = asyncio.get_running_loop(), HttpLines(), bytearray(65536), False
        after = "" if self._version is None else f"&after={self._version}"
        sock = calls.make()
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.sock_connect(sock, (self._address.host, self._address.port))
                target = f"GET /v1/endpoints?watch=1{after} HTTP/1.1\r\n"
                host = f"Host: {self._address.host}:{self._address.port}\r\n\r\n"
                await loop.sock_sendall(sock, (target + host).encode())
            while not http.done:
                async with asyncio.timeout(SILENT_S if heard else ANSWER_S):
                    count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    break
                for line in http.feed(bytes(memoryview(buffer)[:count])):
                    heard = True
                    # A missed change could break the drain rule: after a bad object, ask for it anew.
                    if line.strip() and not self._object(line):
                        return False
        finally:
            calls.close(sock)
        return heard

    def _object(self, line: bytes) -> bool:
        try:
            data = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            return self._bad(str(error))
        return self._read(data, ListKind.DIFF)

    def _read(self, data: Any, kind: ListKind) -> bool:
        """Whether the object was good; a bad one changes nothing, the last list is kept."""
        try:
            page = self._reader.page(data)
        except ListError as error:
            return self._bad(str(error))
        if kind is ListKind.DIFF and page.whole:
            kind = ListKind.SNAPSHOT
        self._take(page, kind)
        return True

    def _bad(self, why: str) -> bool:
        self._counters.add("list_objects_bad")
        self._log.event("list_object_bad", why=why[:200])
        return False

    def _take(self, page: Page, kind: ListKind) -> None:
        self._counters.add("list_objects")
        whole = kind is not ListKind.DIFF
        if whole:
            self._rows = {}
        for row in page.rows:
            self._rows[row[0].server] = row
            if row[0].lifecycle is Lifecycle.OFF:
                del self._rows[row[0].server]
        self._version = page.version
        if kind is not ListKind.DISK and self.told_us is None:
            self.told_us = self._clock.now_us()
        if page.rows or whole:
            self._log.event("list", kind=kind.value, version=page.version, entries=len(page.rows))
            self._pass_on(page.rows, kind)

    def _pass_on(self, rows: Sequence[Row], kind: ListKind) -> None:
        laid = [(self._lay(entry), host, port) for entry, host, port in rows]
        for backend in self._backends.listed(laid, kind is not ListKind.DIFF, self._clock.now_us()):
            self._left(backend)
        self._owner.put(Listed(ListUpdate(kind, self._version or 0, tuple(entry for entry, _, _ in laid))))
