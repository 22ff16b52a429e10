"""The decision module's records: what was seen, no decisions. Kept by `balancer.py` alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from stoatgw.decisions.interface import AttemptStatus, Endpoint, Request, Settings

LOST = (AttemptStatus.DIAL_FAILED, AttemptStatus.EXPIRED, AttemptStatus.DROPPED)

RESTART_LISTED_US = 8_000_000  # a restart that was seen counts so long: the endpoint list tells of it by then


@dataclass(slots=True)
class ServerState:
    """What is known of one server process."""

    entry: Endpoint
    cold_filled_us: int  # when `cold_credit` was last brought up to date
    turn: int  # this balancer's place among those that may fill it while it is cold
    cold_credit: float = 0.0  # connections that may be sent while it is cold
    lookback: list[tuple[int, float]] = field(default_factory=list)  # (time, load / connections)
    rate: float = 0.0  # r: mean of these
    probed: float | None = None  # connections held, by the last report
    load: float = 0.0  # load over capacity, by the last report
    reported_us: int = 0  # when that report came
    unshown: list[tuple[int, float]] = field(default_factory=list)  # (time, change of n) not reported yet
    unshown_units: float = 0.0  # their sum, kept beside them: it is asked for far more often than they change
    mine: dict[str, ConnectionState] = field(default_factory=dict)  # own connections on it, by request
    groups: Counter[int | None] = field(default_factory=Counter)  # own connections of each group
    asked_us: int = -(10**9)  # when it was last probed
    probe_failures: int = 0  # in a row
    setup_failures: int = 0  # in a row
    under_way: int = 0  # own set-ups under way on it
    errors: int = 0  # first tries in a row that drew an error
    ejected_until_us: int = 0
    delay_load: float = 0.0  # load that the last message-delay note stands for
    delayed_us: int = -(10**9)  # when that note came
    heard_us: int = 0  # when it last answered anything
    lost_us: int = 0  # when it last failed to
    back_us: int = 0  # when it was seen to have come back empty

    def hold(self, connection: ConnectionState) -> None:
        self.groups[connection.asked.group] += 1
        self.mine[connection.asked.request_id] = connection

    def release(self, connection: ConnectionState) -> None:
        self.groups[connection.asked.group] -= 1
        if not self.groups[connection.asked.group]:
            del self.groups[connection.asked.group]
        del self.mine[connection.asked.request_id]

    def warm_up_fraction(self, now_us: int, settings: Settings) -> float:
        """Part of its full capacity that the server surely has by now, from `settings.cold_from` to 1."""
        seen_restarting = self.back_us > now_us - RESTART_LISTED_US
        start_us = self.back_us if seen_restarting else self.entry.started_us
        age_us = now_us - start_us
        if start_us <= 0 or age_us >= settings.cold_us:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * max(0, age_us) / settings.cold_us

    def sample(self, now_us: int, rate: float, most: int, span_us: int) -> None:
        """One more sample of r, beside the latest others: so many at most, no older than the span."""
        fresh = [sample for sample in self.lookback if sample[0] > now_us - span_us]
        self.lookback = [*fresh[1 - most :], (now_us, rate)]
        self.rate = sum(rate for _, rate in self.lookback) / len(self.lookback)

    def drop_shown(self, until_us: int) -> None:
        """A report shows all changes up to then."""
        self.unshown = [change for change in self.unshown if change[0] > until_us]
        self.unshown_units = sum(units for _, units in self.unshown)

    def fold_shown(self, until_us: int, *, keep: bool) -> None:
        """Drop what a report shows; `keep`: as one change, which the next report will show in any case."""
        before = self.unshown_units
        self.drop_shown(until_us)
        if keep:
            self.change(0, before - self.unshown_units)

    def change(self, since_us: int, units: float) -> None:
        """Its connections are so many units more since a time, which no report has shown."""
        self.unshown.append((since_us, units))
        self.unshown_units += units


@dataclass(slots=True, eq=False)
class ConnectionState:
    """A request from its arrival to its end."""

    asked: Request
    deadline_us: int
    units: float  # its load in mean connections
    server: ServerState | None = None  # where its attempt is out, or where it stands
    sent_us: int = 0
    tried: list[str] = field(default_factory=list)
    rounds: int = 0  # of probes asked for it
    standing: bool = False
    moving: bool = False  # asked to leave its server
    abandoned: bool = False  # the client has gone
    erred: ServerState | None = None  # the server that answered the last try with an error
    first_run: tuple[Endpoint, int] | None = None  # first attempt that may have run, when sent


@dataclass(slots=True)
class FleetState:
    """What is known of all servers together."""

    ready: list[ServerState] = field(default_factory=list)
    near: list[ServerState] = field(default_factory=list)  # ready and settled, own zone, in a random order
    far: list[ServerState] = field(default_factory=list)  # the same, other zones
    filling: list[ServerState] = field(default_factory=list)  # just started, and this balancer may fill them
    fresh: dict[str, ServerState] = field(
        default_factory=dict
    )  # settled, and heard of since the last sorting out at least
    honors_ejection: bool = True
    doubt_us: dict[int, int] = field(default_factory=dict)  # zones of which much fails: since when
    rate: float | None = None  # mean r
    kind_rates: dict[int, float] = field(default_factory=dict)  # mean r of each machine kind
    kind_held: dict[int, float] = field(default_factory=dict)  # connections x live weight, mean of a kind

    def learn(self, known: list[tuple[int, float, float]]) -> None:
        """Mean r by kind and of all, from kind, r and count of each server: nearly empty ones hardly count."""
        loads, counts = dict[int, float](), dict[int, float]()
        for kind, rate, count in known:
            loads[kind], counts[kind] = loads.get(kind, 0.0) + rate * count, counts.get(kind, 0.0) + count
        if counts:
            self.kind_rates = {kind: loads[kind] / counts[kind] for kind in counts}
            self.rate = sum(loads.values()) / sum(counts.values())

    def learn_weight(self, endpoint: Endpoint, count: float) -> None:
        """What a live weight stands for: connections times weight, a running mean of each machine kind."""
        held = count * endpoint.weight
        mean = self.kind_held.get(endpoint.machine_kind)
        self.kind_held[endpoint.machine_kind] = 0.9 * mean + 0.1 * held if mean else held

    def rate_of(self, server: ServerState, since_us: int) -> float:
        """r: the mean of the server's samples; without one since then, that of its kind, then the fleet's."""
        if server.lookback and server.lookback[-1][0] > since_us:
            return server.rate
        return self.kind_rates.get(server.entry.machine_kind, self.rate or 0.0)

    def weight_tells_count(self, server: ServerState, since_us: int) -> bool:
        """Whether the live weight, which all lists carry each second, tells n better than a report before then."""
        is_stale = server.reported_us < since_us
        return is_stale and 0.0 < server.entry.weight < 1e9 and server.entry.machine_kind in self.kind_held

    def update_panic_mode(self, now_us: int) -> None:
        """Where most of the fleet fails at once the cause is shared: ejecting would only add to it."""
        ejected = sum(server.ejected_until_us > now_us for server in self.ready)
        self.honors_ejection = 2 * ejected <= len(self.ready)

    def contact(self, server: ServerState, status: AttemptStatus, now_us: int, span_us: int) -> None:
        """Whether it answers. A zone is in doubt while more of it fail within the span than answer, two at least."""
        zone, since_us = server.entry.zone, now_us - span_us
        if status in LOST:
            server.lost_us = now_us
        elif status in (AttemptStatus.DELIVERED, AttemptStatus.SHED, AttemptStatus.APP_ERROR):
            server.heard_us = now_us
        if status not in LOST and not self.doubt_us.get(zone):
            return
        peers = [each for each in self.ready if each.entry.zone == zone]
        lost = [each.lost_us for each in peers if each.lost_us > max(since_us, each.heard_us)]
        heard = sum(each.heard_us > min(lost, default=0) for each in peers)
        self.doubt_us[zone] = min(lost) if len(lost) > max(1, heard) else 0


@dataclass(slots=True)
class BalancerState:
    """Running counts of this balancer's own connections and probes."""

    probes_due: float
    window: float  # how many set-ups may be under way
    under_way: int = 0
    scarce: float = 0.0  # highest worth that was refused lately, fading
    part: float = 0.0  # of the fleet's connections: how much of a tenant's quota is ours
    arrived: int = 0  # first tries in this period
    arrivals: float = 0.0  # and in a mean one
    placed: list[float] = field(default_factory=lambda: [0.0, 0.0])  # net, this period and the last
    tenants: Counter[int] = field(default_factory=Counter)
    hints: list[float] = field(default_factory=lambda: [0.0, 0.0])  # sum and number of those seen

    def units(self, hint_us: float, least: float, most: float) -> float:
        """A hint as a part of the mean one; one beyond belief moves the mean no further."""
        mean_us = self.hints[0] / self.hints[1] if self.hints[1] else hint_us
        units = min(most, max(least, hint_us / mean_us))
        self.hints[0] += units * mean_us
        self.hints[1] += 1
        return units


class PendingHealthChecks:
    """Connections that wait for the answers of probes sent for them. A wait ends once: answered, late or dropped."""

    def __init__(self) -> None:
        self._waits: dict[int, tuple[str, set[str]]] = {}  # request and servers, by token
        self._last = 0

    def begin(self, request: str, servers: set[str]) -> int:
        """The token of the timer that ends the wait at the latest; never 0."""
        self._last += 1
        self._waits[self._last] = request, servers
        return self._last

    def answered(self, server: str) -> list[str]:
        """Whose last probe under way this one was, in the order in which they came."""
        for _, servers in self._waits.values():
            servers.discard(server)
        return [self._waits.pop(token)[0] for token, (_, servers) in list(self._waits.items()) if not servers]

    def late(self, token: int) -> list[str]:
        """Who waits for this timer still, if anybody."""
        wait = self._waits.pop(token, None)
        return [wait[0]] if wait is not None else []

    def drop(self, request: str) -> bool:
        """Whether it waited until now."""
        tokens = [token for token, (asked, _) in self._waits.items() if asked == request]
        return any([self._waits.pop(token) for token in tokens])
