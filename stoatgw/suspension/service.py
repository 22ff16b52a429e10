"""Bans as calls give them and as the shared file holds them, brought to the director and the owner."""

from __future__ import annotations

from pathlib import Path

from stoatgw.clock import Clock
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.suspension.applier import SuspensionApplier
from stoatgw.suspension.overrides import SuspensionSource
from stoatgw.suspension.store import SuspensionStore, SuspensionStoreError
from stoatgw.telemetry.log import EventLog

LOOK_S = 0.2  # a call to the other process of this proxy binds here within so long


class SuspensionService:
    def __init__(
        self, folder: str | None, outs: SuspensionApplier, director: DiscoveryClient, clock: Clock, log: EventLog
    ) -> None:
        self._store = SuspensionStore(Path(folder)) if folder else None
        self._outs, self._overlay, self._director = outs, outs.overrides, director
        self._clock, self._log = clock, log
        self._seen: tuple[int, int, int] | None = None

    def start(self) -> None:
        """What was out before this process began is out, before it hears of any list."""
        if self._store is None:
            self._log.event("suspension_write_failed", error="TMPDIR is not set")
        self.poll()

    def has_server(self, name: str) -> bool:
        """Whether there is such a session server, in the list or out by hand."""
        return self._director.publisher.has_endpoint(name) or name in self._overlay.suspensions

    def suspend(self, name: str) -> str:
        """Out from now on; gives why that would not outlive this process, if so."""
        now_us, why = self._clock.now_us(), ""
        bans = dict(self._overlay.suspensions_from(SuspensionSource.OPERATOR))
        bans.setdefault(name, now_us)
        if self._store is not None:
            try:
                bans = self._store.change(name, bans[name])
            except SuspensionStoreError as fault:
                why = str(fault)
                self._log.event("suspension_write_failed", error=why)
        self._apply(bans)
        return why

    def resume(self, name: str) -> str:
        """Used again from now on; gives why not, if so, and then nothing has changed."""
        bans = {
            each: since_us
            for each, since_us in self._overlay.suspensions_from(SuspensionSource.OPERATOR).items()
            if each != name
        }
        if self._store is not None:
            try:
                bans = self._store.change(name, None)
            except SuspensionStoreError as fault:
                self._log.event("suspension_write_failed", error=str(fault))
                return str(fault)
        self._apply(bans)
        return "the maintenance has it out" if name in self._overlay.suspensions else ""

    def _apply(self, bans: dict[str, int]) -> None:
        self._outs.apply(bans, SuspensionSource.OPERATOR)
        if self._store is not None:
            self._seen = self._store.seen()

    def poll(self) -> None:
        """To be called every LOOK_S: the other process of this proxy may have been told."""
        if self._store is None or (seen := self._store.seen()) == self._seen:
            return
        self._seen = seen
        try:
            bans = self._store.load()
        except SuspensionStoreError as fault:  # what is out here stays out
            self._log.event("suspension_read_failed", error=str(fault))
            return
        self._apply(bans)
