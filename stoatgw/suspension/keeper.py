"""Bans as calls give them and as the shared file holds them, brought to the director and the owner."""

from __future__ import annotations

from pathlib import Path

from stoatgw.director.director import Director
from stoatgw.owner.clock import Clock
from stoatgw.suspension.outs import Outs
from stoatgw.suspension.overlay import BY_HAND
from stoatgw.suspension.store import Store, StoreError
from stoatgw.telemetry.log import EventLog

LOOK_S = 0.2  # a call to the other process of this proxy binds here within so long


class Keeper:
    def __init__(self, folder: str | None, outs: Outs, director: Director, clock: Clock, log: EventLog) -> None:
        self._store = Store(Path(folder)) if folder else None
        self._outs, self._overlay, self._director = outs, outs.overlay, director
        self._clock, self._log = clock, log
        self._seen: tuple[int, int, int] | None = None

    def begin(self) -> None:
        """What was out before this process began is out, before it hears of any list."""
        if self._store is None:
            self._log.event("suspended_not_kept", error="TMPDIR is not set")
        self.look()

    def known(self, name: str) -> bool:
        """Whether there is such a session server, in the list or out by hand."""
        return self._director.lists(name) or name in self._overlay.bans

    def suspend(self, name: str) -> str:
        """Out from now on; gives why that would not outlive this process, if so."""
        now_us, why = self._clock.now_us(), ""
        bans = dict(self._overlay.bans_of(BY_HAND))
        bans.setdefault(name, now_us)
        if self._store is not None:
            try:
                bans = self._store.change(name, bans[name])
            except StoreError as fault:
                why = str(fault)
                self._log.event("suspended_not_kept", error=why)
        self._apply(bans)
        return why

    def resume(self, name: str) -> str:
        """Used again from now on; gives why not, if so, and then nothing has changed."""
        bans = {each: since_us for each, since_us in self._overlay.bans_of(BY_HAND).items() if each != name}
        if self._store is not None:
            try:
                bans = self._store.change(name, None)
            except StoreError as fault:
                self._log.event("suspended_not_kept", error=str(fault))
                return str(fault)
        self._apply(bans)
        return "the maintenance has it out" if name in self._overlay.bans else ""

    def _apply(self, bans: dict[str, int]) -> None:
        self._outs.take(bans, BY_HAND)
        if self._store is not None:
            self._seen = self._store.seen()

    def look(self) -> None:
        """To be called every LOOK_S: the other process of this proxy may have been told."""
        if self._store is None or (seen := self._store.seen()) == self._seen:
            return
        self._seen = seen
        try:
            bans = self._store.load()
        except StoreError as fault:  # what is out here stays out
            self._log.event("suspended_unread", error=str(fault))
            return
        self._apply(bans)
