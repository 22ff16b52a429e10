"""How a run recovered: for how long service stayed down, what moves were good for, and where worth was lost.

Reads the event log as the checker does; of the world it asks only how loaded a server is at that moment.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from stoatgw.emulator.world.events import Event, EventKind
from stoatgw.emulator.world.population import Population

AGAIN_US = 30_000_000  # a move is judged by what came of it within so long
WITHIN = 0.02  # service is back once it is so near to what it was
BEFORE_S, SMOOTH_S, STAYS_S = 10, 3, 5
# Why a client that wants a connection has none.
CAUSES = ("setting_up", "refused", "failed", "timed_out", "moved", "broken")


@dataclass(slots=True)
class _Wish:
    since_us: int
    cause: str = "setting_up"
    up: bool = False
    server: str = ""
    left: str = ""  # the server that its last move left
    moved_us: int = -AGAIN_US
    over: bool = False


@dataclass(slots=True)
class Scorecard:
    """Feed it every record; then `figures`."""

    population: Population
    worths: tuple[float, ...]
    length_us: int
    load: Callable[[str], float]
    lost: dict[str, float] = field(default_factory=lambda: dict.fromkeys(CAUSES, 0.0))
    moves: int = 0
    moved_twice: int = 0
    for_nothing: int = 0
    _wishes: dict[int, _Wish] = field(default_factory=dict)
    _client: dict[str, int] = field(default_factory=dict)

    def feed(self, event: Event) -> None:
        match event.kind:
            case EventKind.REQUEST_RECEIVED:
                self._client[event.request_id] = int(event.detail)
                self._wish(int(event.detail))
            case EventKind.SESSION_ESTABLISHED:
                self._client[event.request_id] = int(event.detail)
                self._up(event)
            case EventKind.REQUEST_ANSWERED:
                if event.detail != "up":
                    self._turn(event, "refused" if event.detail == "busy" else "failed")
            case EventKind.CLIENT_DISCONNECTED:
                self._turn(event, "timed_out")
            case EventKind.SESSION_MIGRATED:
                self._moved(event)
            case EventKind.SESSION_ENDED | EventKind.SESSION_BROKEN:
                self._over(event)
            case _:
                pass

    def _wish(self, client: int) -> _Wish:
        wish = self._wishes.get(client)
        if wish is None:
            wish = self._wishes[client] = _Wish(int(self.population.arrival_us[client]))
        return wish

    def _book(self, client: int, wish: _Wish, until_us: int) -> None:
        end_us = min(until_us, int(self.population.departure_us[client]), self.length_us)
        if not wish.up and not wish.over and end_us > wish.since_us:
            worth = self.worths[int(self.population.request_class[client])]
            self.lost[wish.cause] += worth * (end_us - wish.since_us) / 1e6
        wish.since_us = max(wish.since_us, until_us)

    def _turn(self, event: Event, cause: str) -> None:
        client = self._client.get(event.request_id)
        if client is not None:
            wish = self._wish(client)
            if not wish.up:
                self._book(client, wish, event.time_us)
                wish.cause = cause

    def _up(self, event: Event) -> None:
        client = self._client[event.request_id]
        wish = self._wish(client)
        self._book(client, wish, event.time_us)
        if event.time_us <= self.length_us and event.time_us - wish.moved_us < AGAIN_US:
            same = wish.left == event.server
            self.for_nothing += same or self.load(event.server) >= self.load(wish.left) > 0.0
        wish.up, wish.server, wish.left = True, event.server, ""

    def _moved(self, event: Event) -> None:
        client = self._client.get(event.request_id)
        if client is None or event.time_us > self.length_us:
            return
        wish = self._wish(client)
        self.moves += 1
        self.moved_twice += event.time_us - wish.moved_us < AGAIN_US
        self._gone(wish, event.time_us, "moved")
        wish.moved_us, wish.left = event.time_us, wish.server

    def _over(self, event: Event) -> None:
        client = self._client.get(event.request_id)
        if client is None:
            return
        wish = self._wish(client)
        if event.detail == "BYE":
            wish.over = True
        self._gone(wish, event.time_us, "moved" if event.detail == "MOVE" else "broken")

    @staticmethod
    def _gone(wish: _Wish, t_us: int, cause: str) -> None:
        if wish.up:
            wish.up, wish.since_us, wish.cause = False, t_us, cause

    def figures(
        self, asked: np.ndarray, earned: np.ndarray, loads: dict[str, list[float]], faults: list[tuple[float, str]]
    ) -> dict[str, float]:
        """All figures; `asked` and `earned` are worth by class and second."""
        for client in range(len(self.population)):
            self._book(client, self._wish(client), self.length_us)
        total = max(1e-9, float(asked.sum()))
        away = sum(self.lost.values())
        shares = {f"lost_{cause}": worth / total for cause, worth in self.lost.items()}
        # Connections that stood, but whose messages came late: their servers were overdriven or still.
        shares["lost_late"] = max(0.0, float(asked.sum() - earned.sum()) - away) / total
        return shares | {
            "moves": float(self.moves),
            "moved_twice": float(self.moved_twice),
            "moved_for_nothing": float(self.for_nothing),
            "recovery_s": recovery_s(asked.sum(axis=0), earned.sum(axis=0), faults),
            "overshoot": overshoot(loads, faults),
            "spread": spread(loads),
        }


def recovery_s(asked: np.ndarray, earned: np.ndarray, faults: list[tuple[float, str]]) -> float:
    """Seconds from the last trouble's end until service is, and stays, within 2% of what it was before the first.

    0 where there was no trouble or service never fell; the rest of the run where it did not come back.
    """
    if not faults:
        return 0.0
    begin = int(min(at for at, text in faults if text.endswith("begins")))
    end = int(max(at for at, _ in faults))
    share = np.divide(earned, asked, out=np.ones_like(earned), where=asked > 0)
    smooth = np.convolve(share, np.ones(SMOOTH_S) / SMOOTH_S, mode="same")
    before = share[max(0, begin - BEFORE_S) : max(1, begin)].mean()
    good = smooth >= before - WITHIN
    good[-1] = good[-2] if len(good) > 1 else good[-1]  # the smoothed end lacks a neighbour
    for second in range(min(end, len(good) - 1), len(good)):
        if good[second : second + STAYS_S].all():
            return float(second - end)
    return float(len(good) - end)


def overshoot(loads: dict[str, list[float]], faults: list[tuple[float, str]]) -> float:
    """How far the fullest server after the troubles' end stood over the mean, over the same before them."""
    if not faults:
        return 0.0
    begin = int(min(at for at, text in faults if text.endswith("begins")))
    end = int(max(at for at, _ in faults))
    over = _over_mean(loads)
    before, after = over[max(0, begin - BEFORE_S) : begin], over[end:]
    if not len(before) or not len(after):
        return 0.0
    return float(max(0.0, after.max() - before.max()))


def _over_mean(loads: dict[str, list[float]]) -> np.ndarray:
    mean = np.array(loads.get("mean", []))
    rows = [values for name, values in loads.items() if name != "mean"]
    if not rows or not len(mean):
        return np.zeros(0)
    wide = np.full((len(rows), len(mean)), -1.0)
    for place, values in enumerate(rows):
        wide[place, : len(values)] = values[: len(mean)]
    return np.asarray(wide.max(axis=0) - mean)


def spread(loads: dict[str, list[float]]) -> float:
    """Standard deviation of load over the serving servers in the last ten seconds (a server's own, not quantiles)."""
    rows = [values for name, values in loads.items() if name.startswith("s-")]
    if not rows:
        return 0.0
    seconds = max(len(values) for values in rows)
    found = []
    for second in range(max(0, seconds - 10), seconds):
        there = [values[second] for values in rows if len(values) > second and values[second] >= 0.0]
        if there:
            found.append(float(np.std(there)))
    return float(np.mean(found)) if found else 0.0
