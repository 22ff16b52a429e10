"""Bans brought to all who go by them: the list as the module sees it, the backends, and the clients who stand there."""

from __future__ import annotations

from stoatgw.director.director import Director
from stoatgw.owner.clock import Clock
from stoatgw.owner.messages import Vacate
from stoatgw.owner.owner import Owner
from stoatgw.suspension.overlay import Bans, Overlay
from stoatgw.telemetry.log import EventLog

VACATE_US = 2_000_000  # a server taken out is left over so long: well before a restart, and no herd elsewhere


class Outs:
    def __init__(self, overlay: Overlay, director: Director, owner: Owner, clock: Clock, log: EventLog) -> None:
        self.overlay, self._director, self._owner, self._clock, self._log = overlay, director, owner, clock, log

    def take(self, bans: Bans, source: str, over_us: int = VACATE_US) -> None:
        """What a source has out from now on; who stands on one newly out is moved within `over_us`."""
        out, back = self.overlay.take(bans, self._clock.now_us(), source)
        for name in out:
            self._log.event("suspended", backend=name)
            self._owner.put(Vacate(name, True, over_us))
        for name in back:
            self._log.event("resumed", backend=name)
            self._owner.put(Vacate(name, False))
        self._director.tell_again([*out, *back])
