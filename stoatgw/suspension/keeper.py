"""Bans as calls give them and as the shared file holds them, brought to the director and the owner."""

from __future__ import annotations

from pathlib import Path

from stoatgw.director.director import Director
from stoatgw.owner.clock import Clock
from stoatgw.owner.messages import Vacate
from stoatgw.owner.owner import Owner
from stoatgw.suspension.overlay import Overlay
from stoatgw.suspension.store import Store, StoreError
from stoatgw.telemetry.log import EventLog

LOOK_S = 0.2  # a call to the other process of this proxy binds here within so long


class Keeper:
    def __init__(
        self, folder: str | None, overlay: Overlay, director: Director, owner: Owner, clock: Clock, log: EventLog
    ) -> None:
        self._store = Store(Path(folder)) if folder else None
        self._overlay, self._director, self._owner = overlay, director, owner
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
        bans = dict(self._overlay.bans)
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
        bans = {each: since_us for each, since_us in self._overlay.bans.items() if each != name}
        if self._store is not None:
            try:
                bans = self._store.change(name, None)
            except StoreError as fault:
                self._log.event("suspended_not_kept", error=str(fault))
                return str(fault)
        self._apply(bans)
        return ""

    def _apply(self, bans: dict[str, int]) -> None:
        out, back = self._overlay.take(bans, self._clock.now_us())
        for name in out:
            self._log.event("suspended", backend=name)
            self._owner.put(Vacate(name, True))
        for name in back:
            self._log.event("resumed", backend=name)
            self._owner.put(Vacate(name, False))
        self._director.tell_again([*out, *back])
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
