"""Every decision of stoatgw; its types, events and actions are in `stoatgw/decisions/interface.py`.

One `Balancer` is one balancer instance: `handle` takes an event with the time and gives actions.
docs/design.md has the rule: a ready server passes while r * (n + 1) is under the margin.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from stoatgw.decisions import interface as api
from stoatgw.decisions import records
from stoatgw.decisions.interface import (
    AttemptStatus,
    EndpointUpdateKind,
    Idempotency,
    KeyScope,
    Lifecycle,
    SessionMetricKind,
)
from stoatgw.decisions.records import BalancerState, ConnectionState, FleetState, ServerState
from stoatgw.decisions.slow_start import SlowStartLimiter

PERIOD_US = 1_000_000  # one lookback period
LOOKBACK = 20  # periods in the mean r (the paper's lambda); older samples no longer count
PROBE_SPEND = 0.01  # part of the service that probing may cost
PROBES_FIRST, PROBES_LEAST = 8, 0.25  # probes at the start, and a period where no client comes
# Among many balancers each sees a client in seconds, and what it knows is old by then: when one comes, it
# probes so many, so often, believes what they tell for so long, and waits for that so long or part at most.
ASKED, ROUNDS, FRESH_US, ASKED_WAIT_US, ASKED_PART = 2, 2, 1_000_000, 100_000, 4
OWN_ZONE_FAVOUR = 3.0  # the own zone is probed so many times as often
CANDIDATES, EXAMINED = 2, 12  # passing servers compared, at least; looked at of each zone, at most
MARGIN = 0.8  # the paper's tau
GROUP_PULL, GROUP_UNITS = 0.05, 3.0  # a group held already: preferred by so much load; one new weighs so many
SPILL = 0.6  # load up to which the own zone, then settled servers, are filled first
LOW_WORTH_CUT = 0.4  # part of the margin that a connection of no worth forgoes while the highest is refused;
CUT_ALWAYS, SCARCE_KEPT = 0.5, 0.9  # so much of that at any time; part of the worth refused kept a period
RATE_SPREAD = 4.0  # a server's r is believed up to so many times over or under the fleet's
SHOWN_US = 700_000  # a report shows its server as it was so long before, at most
NEWS_US = 1_500_000  # a delay note counts so long
UNITS_MIN, UNITS_MAX = 0.2, 8.0  # believed range of one connection's load, in mean connections
REPORT_FRESH_US = 3_000_000  # a reported load over 1 closes a server for so long
RELIEF_PART = 10  # one in so many connections is moved off a server at a message as late as its aim;
RELIEF_MOST = 0.2  # more where it is later still, up to this part: work of seconds is piled up there
TRIES, ERRORS = 2, 2  # the first try and one more; errors on first tries in a row that tell of a server
GUARD_US = 1_000  # an answer leaves so long, and two batches, before the end
SETUPS_EACH = 16  # own set-ups under way at one server
SETUPS_MIN, SETUPS_MAX, SETUPS_CUT = 2.0, 200.0, 0.7  # window of own set-ups; a failed one shrinks it
EJECT_MOST = 4  # a failing server is left out for 1, 2, then so many periods
TURNS_MOST = 8  # more balancers than that share the filling of a cold server in a round
DOUBT_US = 5_000_000  # a silent one puts its zone in doubt so long
LOG_EVERY_US = 10_000_000  # each kind of log line at most so often


class Balancer:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings, self._random = settings, random.Random(seed)
        self._servers: dict[str, ServerState] = {}
        self._connections: dict[str, ConnectionState] = {}
        self._fleet, self._own = FleetState(), BalancerState(probes_due=PROBES_FIRST, window=SETUPS_MAX)
        self._now_us, self._many, self._actions = 0, settings.balancers > TURNS_MOST, list[api.Action]()
        self._waits, self._cold = records.PendingHealthChecks(), SlowStartLimiter(settings, many=self._many)
        self._asks = self._many and settings.can_probe
        self._subscribed, self._ask_at_us, self._logged_us = not settings.must_subscribe, 0, dict[str, int]()
        self._aim_ms = min(profile.message_aim_us for profile in settings.profiles) / 1000
        self._top_worth = max(profile.worth for profile in settings.profiles) or 1.0
        self._handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request, api.SessionRestored: self._on_existing,
            api.AttemptEstablished: self._on_begun, api.AttemptOutcome: self._on_outcome,
            api.ClientDisconnected: self._on_gone, api.SessionMetric: self._on_note,
            api.EndpointUpdate: self._on_list, api.HealthCheckResult: self._on_probe,
            api.TimerExpired: self._on_timer,
        }  # fmt: skip

    def start(self, now_us: int) -> list[api.Action]:
        """Begin: ask for the list where it must be asked for, start the period."""
        return self.handle(api.TimerExpired(0), now_us)

    def handle(self, event: api.Event, now_us: int) -> list[api.Action]:
        """Take one event; give the actions that answer it, in order."""
        self._now_us, self._actions = now_us, []
        self._handlers.get(type(event), lambda _: None)(event)
        return self._actions

    def estimates(self, now_us: int) -> list[api.ServerEstimate]:
        """What is believed of each ready server; nothing changes by asking."""
        self._now_us = now_us
        return [self._belief(server) for server in self._fleet.ready if self._fleet.rate is not None]

    def avoided_servers(self, now_us: int) -> list[str]:
        """The listed servers that leave or that no choice would take first; nothing changes by asking."""
        self._now_us, all_servers = now_us, self._servers.values()
        on = Lifecycle.ACTIVE
        return [s.entry.name for s in all_servers if s.entry.lifecycle is not on or any(self._avoided(s))]

    def _belief(self, server: ServerState) -> api.ServerEstimate:
        late = self._now_us - server.delayed_us < NEWS_US
        sound = not late and server.ejected_until_us <= self._now_us and server.probe_failures <= 1
        return api.ServerEstimate(
            server.entry.name, server.entry.zone, self._pressure(server, 0.0),
            self._rate(server) / self._share(server), self._held(server), self._now_us - server.reported_us,
            self._share(server), server.under_way, sound and server.under_way < SETUPS_EACH,
            tuple(c.asked for c in server.mine.values() if c.standing and not c.moving),
        )  # fmt: skip

    def migrate(self, request: str) -> list[api.Action]:
        """Send a standing connection away, as planned elsewhere; nothing if it is not one any more."""
        connection = self._connections.get(request)
        if connection is None or not connection.standing or connection.moving:
            return []
        connection.moving = True
        return [api.Migrate(request)]

    def _log(self, kind: str, text: str) -> None:
        if self._now_us - self._logged_us.get(kind, -LOG_EVERY_US) >= LOG_EVERY_US:
            self._logged_us[kind] = self._now_us
            self._actions.append(api.Log(f"{kind}: {text}"))

    def _on_list(self, event: api.EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.ERROR:
            self._subscribed, self._ask_at_us = not self._settings.must_subscribe, self._now_us + PERIOD_US
            return
        self._subscribed = self._subscribed or event.kind is not EndpointUpdateKind.CACHED
        changed = event.kind is not EndpointUpdateKind.DELTA
        if changed:
            listed = {entry.name for entry in event.endpoints}
            self._servers = {name: server for name, server in self._servers.items() if name in listed}
        for entry in event.endpoints:
            server = self._servers.get(entry.name)
            if server is not None and server.entry.started_us == entry.started_us:
                # Live weights renew every line each second: nothing more may be done for each.
                changed = changed or server.entry.lifecycle is not entry.lifecycle
                server.entry = entry
            else:
                changed = True
                turn = random.Random(entry.name).randrange(1 << 30) + self._settings.rank
                turn %= self._settings.balancers
                since_us, part = (entry.started_us, turn) if self._many else (self._now_us, 0)
                credit = part / self._settings.balancers
                self._servers[entry.name] = ServerState(entry, since_us, turn, credit)
            if entry.lifecycle is Lifecycle.REMOVED:
                del self._servers[entry.name]
        if changed:
            self._sort_out()

    def _sort_out(self) -> None:
        """Bring the lists of servers to choose from up to date, in an order of our own."""
        on = [server for server in self._servers.values() if server.entry.lifecycle is Lifecycle.ACTIVE]
        self._random.shuffle(on)
        zone, cold = self._settings.zone, [server for server in on if self._share(server) < 1.0]
        settled, self._fleet.ready = [server for server in on if self._share(server) >= 1.0], on
        self._fleet.near = [server for server in settled if server.entry.zone == zone]
        self._fleet.far = [server for server in settled if server.entry.zone != zone]
        self._fleet.fresh = {s.entry.name: s for s in settled if self._now_us - s.reported_us < FRESH_US}
        budgets = [self._cold.budget(self._share(server), self._fleet.rate) for server in cold]
        self._fleet.filling = [s for s, budget in zip(cold, budgets) if s.turn < budget.owners]
        self._fleet.update_panic_mode(self._now_us)
        self._probe_some()

    def _on_timer(self, event: api.TimerExpired) -> None:
        if event.token:
            return self._resume(self._waits.late(event.token))
        self._actions.append(api.SetTimer(self._now_us + PERIOD_US, 0))
        if not self._subscribed and self._now_us >= self._ask_at_us:
            self._ask_at_us = self._now_us + 4 * PERIOD_US
            self._actions.append(api.Subscribe(True))
        self._own.arrivals += (self._own.arrived - self._own.arrivals) * (0.2 if self._own.arrivals else 1.0)
        self._own.placed, self._own.arrived = [0.0, self._own.placed[0]], 0
        self._own.scarce *= SCARCE_KEPT
        known = [s for s in self._servers.values() if s.lookback and s.probed]
        self._fleet.learn([(s.entry.machine_kind, self._rate(s), s.probed or 0.0) for s in known])
        for server in self._servers.values():
            server.fold_shown(self._now_us - SHOWN_US, keep=not self._by_weight(server))
        held = sum(server.probed or 0.0 for server in self._fleet.ready)  # while a peer is away much is ours
        self._own.part = min(1.0, max(1 / self._settings.balancers, len(self._connections) / max(1.0, held)))
        price, most = self._settings.probe_price, float(max(PROBES_FIRST, len(self._fleet.ready)))
        due = self._own.arrivals * PROBE_SPEND / price if price > 0 else most
        self._own.probes_due = min(most, self._own.probes_due + max(PROBES_LEAST, due))
        self._sort_out()

    def _probe_some(self, least_us: int = 0) -> None:
        """Probe those asked longest ago, and so long ago, the own zone more often, as the price allows."""

        def age(server: ServerState) -> float:
            times = OWN_ZONE_FAVOUR if server.entry.zone == self._settings.zone else 1.0
            return times * (self._now_us - server.asked_us) * self._random.uniform(1, 3)

        old = [server for server in self._fleet.ready if self._now_us - server.asked_us >= least_us]
        count = max(0, int(self._own.probes_due) - ASKED * ROUNDS * self._asks) * self._settings.can_probe
        for server in sorted(old, key=age, reverse=True)[:count]:
            self._probe(server)

    def _probe(self, server: ServerState) -> str:
        server.asked_us = self._now_us
        self._own.probes_due -= 1.0
        self._actions.append(api.CheckHealth(server.entry.name))
        return server.entry.name

    def _draw(self, servers: list[ServerState]) -> list[ServerState]:  # as many as a decision looks at
        first = int(self._random.random() * len(servers))
        return [*servers[first : first + EXAMINED], *servers[: min(first, EXAMINED)]][:EXAMINED]

    def _ask(self, connection: ConnectionState) -> bool:
        """Probe a few servers for this connection, own zone first; whether it waits for their answers."""
        if not self._asks or connection.rounds >= ROUNDS or self._own.probes_due < 1.0:
            return False
        drawn = self._draw(self._fleet.near) * (len(self._lately(True)) < ASKED * ROUNDS)
        drawn += self._draw(self._fleet.far) * (len(self._lately(False)) < ASKED * ROUNDS)
        old = [s for s in drawn if self._now_us - s.asked_us >= FRESH_US and not any(self._avoided(s))]
        fit = [s for s in old if s.entry.name not in connection.tried and self._in_scope(connection, s)]
        if fit:
            connection.rounds += 1
            token = self._waits.begin(connection.asked.request_id, {self._probe(s) for s in fit[:ASKED]})
            wait_us = min(ASKED_WAIT_US, (connection.deadline_us - self._now_us) // ASKED_PART)
            self._actions.append(api.SetTimer(self._now_us + wait_us, token))
        return bool(fit)

    def _lately(self, near: bool) -> list[ServerState]:  # settled, of the own zone or not, told of just now
        new = [s for s in self._fleet.fresh.values() if self._now_us - s.reported_us < FRESH_US]
        return self._draw([s for s in new if (s.entry.zone == self._settings.zone) is near])

    def _resume(self, requests: list[str]) -> None:
        for request in requests:
            self._place(self._connections[request])

    def _on_probe(self, event: api.HealthCheckResult) -> None:
        server = self._servers.get(event.server)
        if server is not None:
            answered = event.status is AttemptStatus.DELIVERED
            server.probe_failures = 0 if answered else server.probe_failures + 1
            self._fleet.contact(server, event.status, self._now_us, DOUBT_US)
            self._take_report(server, event.load_report)
            # On sockets lines come back at once however loaded the server is: there only reports tell.
            news, told = self._now_us - server.reported_us, self._now_us - server.delayed_us
            if server.load > 1.0 and news == 0 and told >= NEWS_US:
                self._relieve(server)
        self._resume(self._waits.answered(event.server))

    def _take_report(self, server: ServerState, row: tuple[float | None, ...]) -> None:
        report = dict(zip(self._settings.report_columns, row))
        load, count = report.get("x0", report.get("utilization")), report.get("outstanding")
        if count is None or load is None or not (0 <= count < 1e6 and 0 <= load < 1e3):
            return
        if server.lost_us > server.reported_us > 0 and server.probed and 4 <= server.probed > 2 * count:
            # Gone and back nearly empty: it restarted and is cold, seconds before the list says so.
            server.back_us = server.cold_filled_us = self._now_us
            self._sort_out()
        server.probed, server.load, server.reported_us = count, load, self._now_us
        if self._asks and server.entry.lifecycle is Lifecycle.ACTIVE and self._share(server) >= 1.0:
            self._fleet.fresh[server.entry.name] = server
        if self._settings.live_weights and 0.0 < server.entry.weight < 1e9 and count >= 1:
            self._fleet.learn_weight(server.entry, count)
        server.drop_shown(self._now_us - SHOWN_US)
        # Over 1 the load is work piled up: kept in r, it had a recovered fleet refuse most clients.
        if count < 1 or (load > 1.0 and server.lookback):
            return
        rate = min(1.0, load) * self._share(server) / count  # of the full capacity
        # Set-ups alone show almost no load, a hang a huge one: neither may poison the mean for long.
        if self._fleet.rate:
            rate = min(RATE_SPREAD * self._fleet.rate, max(self._fleet.rate / RATE_SPREAD, rate))
        server.sample(self._now_us, rate, LOOKBACK, LOOKBACK * PERIOD_US)
        self._fleet.rate = self._fleet.rate or rate

    def _rate(self, server: ServerState) -> float:
        return self._fleet.rate_of(server, self._now_us - LOOKBACK * PERIOD_US)

    def _by_weight(self, server: ServerState) -> bool:
        return self._fleet.weight_tells_count(server, self._now_us - REPORT_FRESH_US)

    def _held(self, server: ServerState) -> float:
        """n: the count last shown, own changes not shown yet, and as many of each peer over the fleet."""
        count = server.probed or 0.0
        if self._by_weight(server):
            count = min(1e6, self._fleet.kind_held[server.entry.machine_kind] / server.entry.weight)
        count += server.unshown_units
        if self._settings.balancers > 1:
            takers = len(self._fleet.near) + len(self._fleet.far) if self._asks else len(self._fleet.ready)
            each = max(0.0, sum(self._own.placed)) / max(1, takers)
            count += each * (self._settings.balancers - 1)
        return max(0.0, count)

    def _share(self, server: ServerState) -> float:
        return server.warm_up_fraction(self._now_us, self._settings)

    def _enter(self, asked: api.Request) -> ConnectionState:
        known = asked.hint_valid and asked.hint_us is not None and 0 < asked.hint_us < 1e12
        units = self._own.units(asked.hint_us or 0, UNITS_MIN, UNITS_MAX) if known else 1.0
        self._own.tenants[asked.tenant] += 1
        connection = ConnectionState(asked, self._now_us + asked.time_left_us, units)
        self._connections[asked.request_id] = connection
        return connection

    def _on_request(self, asked: api.Request) -> None:
        self._own.arrived += not asked.is_client_retry
        self._place(self._enter(asked))

    def _on_existing(self, event: api.SessionRestored) -> None:
        connection = self._enter(event.request)
        connection.standing = True
        if event.server in self._servers:
            self._attach(connection, self._servers[event.server], 0)

    def _attach(self, connection: ConnectionState, server: ServerState, sent_us: int) -> None:
        connection.server, connection.sent_us = server, sent_us
        server.hold(connection)
        self._own.under_way += not connection.standing
        server.under_way += not connection.standing
        # One that comes back from a peer's drain is not one that the peers place as well.
        self._own.placed[0] += connection.units * (sent_us > 0 and not connection.asked.is_returning)
        server.change(sent_us, connection.units)

    def _detach(self, connection: ConnectionState, server: ServerState) -> None:
        connection.server = None
        server.release(connection)
        self._own.under_way -= not connection.standing
        server.under_way -= not connection.standing
        # A placement that failed leaves n at once; a standing one leaves it from now on.
        since_us = self._now_us if connection.standing else connection.sent_us
        server.change(since_us, -connection.units)

    def _end(self, connection: ConnectionState) -> None:
        self._connections.pop(connection.asked.request_id, None)
        self._own.tenants[connection.asked.tenant] -= 1

    def _on_gone(self, event: api.ClientDisconnected) -> None:
        connection = self._connections.get(event.request_id)
        if connection is not None:
            connection.abandoned = True
            if self._waits.drop(event.request_id):
                self._end(connection)

    def _on_begun(self, event: api.AttemptEstablished) -> None:
        connection = self._connections.get(event.request_id)
        if connection is not None and connection.server is not None:
            self._own.under_way -= not connection.standing
            connection.server.under_way -= not connection.standing
            connection.standing = True
            self._own.window = min(SETUPS_MAX, self._own.window + 1.0)
            connection.server.setup_failures = connection.server.ejected_until_us = 0
            connection.server.errors = 0
            self._fleet.contact(connection.server, AttemptStatus.DELIVERED, self._now_us, DOUBT_US)
            if connection.erred is not None:
                # Another served it: the server's fault.
                self._judge(connection.erred, AttemptStatus.APP_ERROR)

    def _on_outcome(self, event: api.AttemptOutcome) -> None:
        connection = self._connections.get(event.request_id)
        if connection is None:
            return
        server = connection.server
        if server is not None:
            self._detach(connection, server)
            # Those that a drain sends away come back at once: they make no room anywhere.
            if event.status is AttemptStatus.DELIVERED or connection.moving or not connection.standing:
                self._own.placed[0] -= connection.units
            elif self._asks and not connection.abandoned:
                self._own.placed[0] += connection.units  # cut off: the peers' clients of there return as well
            self._take_report(server, event.load_report)
            if not connection.standing and event.status is AttemptStatus.APP_ERROR:
                # A bad client's request draws an error anywhere: it took two good servers out each time.
                connection.erred, server.errors = server, server.errors + (connection.erred is None)
            tells = event.status is not AttemptStatus.APP_ERROR or server.errors >= ERRORS
            if not connection.standing and tells:
                self._judge(server, event.status)
            elif event.status is AttemptStatus.DROPPED:
                self._fleet.contact(server, event.status, self._now_us, DOUBT_US)
            elif event.status is AttemptStatus.REVOKED and not connection.moving and not connection.abandoned:
                # It sends its clients away: it drains, seconds before the list says so.
                server.ejected_until_us = self._now_us + EJECT_MOST * PERIOD_US
            if not event.status.never_ran and connection.first_run is None:
                connection.first_run = (server.entry, connection.sent_us)
        over = event.is_final or connection.standing or connection.abandoned
        (self._end if over else self._place)(connection)

    def _judge(self, server: ServerState, status: AttemptStatus) -> None:
        """Eject a server whose set-ups fail: probes may pass on a server that answers nothing."""
        told = AttemptStatus.UNUSED if status is AttemptStatus.EXPIRED else status  # it took it, at least
        self._fleet.contact(server, told, self._now_us, DOUBT_US)
        if status in (AttemptStatus.DELIVERED, AttemptStatus.REVOKED, AttemptStatus.UNUSED):
            return
        out_us = PERIOD_US // 2
        if status is not AttemptStatus.SHED:
            out_us = PERIOD_US * min(EJECT_MOST, 2**server.setup_failures)
            server.setup_failures += 1
            # A server never heard from that errs is broken by itself: no shared cause, nothing to slow down.
            if status is not AttemptStatus.DIAL_FAILED and (
                status is not AttemptStatus.APP_ERROR or server.reported_us
            ):
                # A slow shared store fails set-ups the more of them there are: start fewer at once.
                self._own.window = min(self._own.window, self._own.under_way + 1.0)
                self._own.window = max(SETUPS_MIN, self._own.window * SETUPS_CUT)
            self._log("ejected", f"{server.entry.name}, set-up ended as {status.value}")
        server.ejected_until_us = max(server.ejected_until_us, self._now_us + out_us)
        self._fleet.update_panic_mode(self._now_us)

    def _on_note(self, event: api.SessionMetric) -> None:
        server = self._servers.get(event.server)
        if event.kind is SessionMetricKind.DELAY and server is not None and 0 <= event.value < 1e12:
            # The fastest sign of overload: a delay as long as the shortest aim is a full server.
            server.delay_load, server.delayed_us = MARGIN * event.value / self._aim_ms, self._now_us
            if event.value >= self._aim_ms:
                self._relieve(server, min(RELIEF_MOST, event.value / self._aim_ms / RELIEF_PART))

    def _relieve(self, server: ServerState, part: float = 1 / RELIEF_PART) -> None:
        """Move a few off a server whose messages are too late, while another has room or it is overfull."""
        held = [c for c in server.mine.values() if c.standing and not c.moving]
        held.sort(key=lambda c: (self._worth(c), -c.units))
        load = server.load * self._held(server) / server.probed if server.probed else 0.0
        # A part of one is left to chance: one each at least is all of them where many balancers act.
        for connection in held[: int(len(held) * part + self._random.random())]:
            if load < MARGIN and self._choose(connection, SPILL, server) is None:
                return
            connection.moving = True
            self._actions.append(api.Migrate(connection.asked.request_id))
            self._log("relief", f"messages are late on {server.entry.name}, moving connections off it")

    def _worth(self, connection: ConnectionState) -> float:
        """Worth as a part of the highest; it falls beyond the tenant's share."""
        asked, settings = connection.asked, self._settings
        worth = settings.profiles[asked.request_class].worth / self._top_worth
        quotas = settings.tenant_quota_connections
        quota = quotas[asked.tenant] * self._own.part if asked.tenant < len(quotas) else float("inf")
        over_share = self._own.tenants[asked.tenant] > quota
        return worth * min(1.0, settings.over_share_worth) if over_share else worth

    def _units_on(self, server: ServerState, connection: ConnectionState) -> float:
        """The connection's load there: a server with none of its group pays for that anew."""
        group = connection.asked.group
        joins = not self._settings.groups or group is None or server.groups[group] > 0
        # Peers hold groups as well: new to us is new to it as far as ours are a fair part of what it holds.
        fair = max(1.0, (server.probed or 0.0) / self._settings.balancers)
        known = 0.0 if self._many or self._share(server) < 1.0 else min(1.0, 2 * len(server.mine) / fair)
        return connection.units if joins else connection.units + 1.0 + (GROUP_UNITS - 1.0) * known

    def _pressure(self, server: ServerState, units: float) -> float:
        """r * (n + 1): the load to expect on the server with so much more on it."""
        pressure = self._rate(server) * (self._held(server) + units) / self._share(server)
        if self._now_us - server.delayed_us < NEWS_US:
            pressure = max(pressure, server.delay_load)
        # A load over 1 cannot be served, whatever r says: an emptied server that still hangs.
        if server.load > 1.0 and self._now_us - server.reported_us < REPORT_FRESH_US:
            pressure = max(pressure, server.load)
        return pressure

    def _cold_units(self, server: ServerState, connection: ConnectionState) -> float:
        """Where many share a server, few know the groups on it: the mean r has their load in it."""
        return connection.units if self._many else self._units_on(server, connection)

    def _cold_room(self, server: ServerState, connection: ConnectionState) -> bool:
        """Whether our part of the budget has room: sent too much, a cold server falls over for good."""
        share, since_us = self._share(server), self._now_us - server.cold_filled_us
        budget, server.cold_filled_us = self._cold.budget(share, self._fleet.rate), self._now_us
        server.cold_credit = self._cold.refilled(server.cold_credit, budget, share, since_us)
        return self._cold.has_room(server.cold_credit, budget, self._cold_units(server, connection))

    def _in_scope(self, connection: ConnectionState, server: ServerState) -> bool:
        """A keyed request that may have run stays with the servers that drop its repeats."""
        profile, entry = self._settings.profiles[connection.asked.request_class], server.entry
        if connection.first_run is None or profile.idempotency is Idempotency.RETRYABLE:
            return True
        first, sent_us = connection.first_run
        if profile.idempotency is Idempotency.FRAGILE or self._now_us > sent_us + profile.key_ttl_us:
            return False
        scopes = {KeyScope.CELL: entry.cell == first.cell, KeyScope.ZONE: entry.zone == first.zone}
        return scopes.get(profile.key_scope, True)

    def _avoided(self, server: ServerState) -> tuple[bool, bool]:
        """Whether it is left out now, and whether it is but the last choice."""
        silent = server.lost_us > max(server.heard_us, self._now_us - DOUBT_US)
        out = (self._fleet.honors_ejection or silent) and server.ejected_until_us > self._now_us
        silent |= server.heard_us < self._fleet.doubt_us.get(server.entry.zone, 0)
        return out, silent or server.probe_failures > 1

    def _choose(
        self,
        connection: ConnectionState,
        margin: float,
        leaving: ServerState | None = None,
        fresh: bool = False,
    ) -> ServerState | None:
        """The best of a few ready servers that pass the admission test, own zone first; or of the `fresh`."""
        # All balancers see the same late picture: if each took the lowest, all would take the same.
        wanted = max(CANDIDATES, len(self._fleet.ready) // self._settings.balancers)
        best, best_key, known = None, (True, True, True, float("inf")), self._fleet.rate is not None
        # Those just started are few for each balancer, and a random draw would hardly ever meet them.
        for servers in (self._fleet.filling, self._fleet.near, self._fleet.far):
            found, near, young = 0, servers is self._fleet.near, servers is self._fleet.filling
            drawn = self._lately(near) if fresh and not young else self._draw(servers)
            rows = [(self._units_on(server, connection), server) for server in drawn]
            for units, server in sorted(rows, key=lambda row: row[0]):
                out, last = self._avoided(server)
                out = out or server is leaving or server.entry.name in connection.tried
                if out or server.under_way >= SETUPS_EACH or not self._in_scope(connection, server):
                    continue
                pressure = self._pressure(server, units) if known else self._held(server)
                if known and pressure >= margin:
                    continue
                over_spill = known and pressure >= SPILL
                last |= known and server.probed is None and not self._by_weight(server)  # not heard from
                cost = pressure - GROUP_PULL * (units <= connection.units)
                key = (last, over_spill, not over_spill and servers is self._fleet.far, cost)
                if key < best_key:
                    if young and not self._cold_room(server, connection):
                        continue
                    best, best_key = server, key
                found += not (over_spill or last)
                if found == wanted:
                    break
            if found and near:
                break
        return best

    def _place(self, connection: ConnectionState) -> None:
        """Admit to the best passing server, else give the final answer."""
        asked, settings, server = connection.asked, self._settings, None
        tries_left = min(TRIES, settings.max_attempts) - len(connection.tried)
        wait_us = connection.deadline_us - 2 * settings.granularity_us - GUARD_US - self._now_us
        if tries_left > 0 and wait_us > 0 and self._own.under_way < self._own.window:
            worth = self._worth(connection)
            below = max(min(CUT_ALWAYS, 1.0 - worth), self._own.scarce - worth)
            margin = MARGIN * (1.0 - LOW_WORTH_CUT * below)
            server = self._choose(connection, margin, fresh=self._asks)
            if (server is None or server.entry.zone != settings.zone) and self._ask(connection):
                return
            if server is None and self._asks and not (self._lately(True) or self._lately(False)):
                server = self._choose(connection, margin)
        if server is None:
            return self._give_up(connection)
        connection.tried.append(server.entry.name)
        # One at least: setting up a light connection is work for a cold server as well.
        server.cold_credit -= max(1.0, self._cold_units(server, connection))
        self._attach(connection, server, self._now_us)
        profile = settings.profiles[asked.request_class]
        if tries_left > 1 and profile.idempotency is not Idempotency.FRAGILE:
            wait_us = min(wait_us, max(profile.on_time_us, wait_us // 2))
        self._actions.append(api.Send(asked.request_id, server.entry.name, self._now_us + wait_us))

    def _give_up(self, connection: ConnectionState) -> None:
        """The final answer: a refusal where a repeat is known to be harmless, else a failure."""
        settings, asked = self._settings, connection.asked
        profile = settings.profiles[asked.request_class]
        self._own.scarce = max(self._own.scarce, self._worth(connection))
        dedup = profile.idempotency is Idempotency.DEDUP and profile.key_scope is KeyScope.ALL
        if connection.first_run is None or dedup or profile.idempotency is Idempotency.RETRYABLE:
            after_us = min(PERIOD_US, settings.max_retry_after_us) * settings.can_advise_retry_after
            self._actions.append(api.Reject(asked.request_id, after_us))
            self._log("refusing", "no server passes the admission test")
            self._probe_some(SHOWN_US)  # what was believed may be behind what the servers hold by now
        else:
            self._actions.append(api.Fail(asked.request_id))
        self._end(connection)
