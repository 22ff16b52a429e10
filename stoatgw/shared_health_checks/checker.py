"""One proxy's part in shared probing: probes what is its turn, publishes, and takes over what others have found."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.controller.messages import HealthCheckCompleted, Message, MessageQueue
from stoatgw.decisions.interface import AttemptStatus
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationStore
from stoatgw.membership.lease_holder import LeaseHolder
from stoatgw.shared_health_checks.assignment import HealthCheckAssignment
from stoatgw.telemetry.log import EventLog

TICK_S = 0.05


class PublishedHealthCheck(msgspec.Struct, frozen=True, array_like=True):
    """A probe's result, as it is published. `age_ms`: when it was written; `number` tells it from the one before."""

    number: int
    age_ms: int
    status: AttemptStatus
    elapsed_us: int
    load_report: tuple[float | None, ...]


Reports = dict[str, PublishedHealthCheck]


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyHooks:
    """What the checker needs of the proxy that it runs in.

    Attributes:
        queue: The balancer controller's message queue.
        start_check: Starts a health check of a server; its result is posted to the checker.
        list_servers: The names of the session servers that discovery lists.
    """

    queue: MessageQueue
    start_check: Callable[[str], None]
    list_servers: Callable[[], list[str]]


class SharedHealthChecker:
    """Also stands in the owner's place before the prober, so that results pass through it."""

    def __init__(
        self,
        told: MembershipConfig,
        sharing: SharedHealthChecksConfig,
        identity: str,
        engine: CoordinationStore,
        inbox: MessageQueue,
        probe: Callable[[str], None],
        servers: Callable[[], list[str]],
        now_us: Callable[[], int],
        log: EventLog,
        draws: random.Random,
    ) -> None:
        """`probe` begins a probe, whose result comes to `put`."""
        self._inbox, self._probe, self._servers, self._now_us, self._log = inbox, probe, servers, now_us, log
        self._engine, self._identity, self._draws = engine, identity, draws
        self._prefix = f"{told.scope}/sharing/"
        self._place = LeaseHolder(
            engine, f"{self._prefix}members/{identity}", identity.encode(), told.lease_ttl_s, now_us
        )
        self._board = HealthCheckAssignment(identity, sharing)
        self._lease_us, self._pause_s = told.lease_ttl_s * 1_000_000, told.poll_interval_ms / 1000
        self._take_us = sharing.max_report_age_ms * 1000
        self._found: dict[str, tuple[int, int, HealthCheckCompleted]] = {}  # number, when, what
        self._taken: dict[tuple[str, str], int] = {}  # numbers of others' reports that were handed on
        self._changes: dict[str, int] = {}
        self._numbers, self._looked_us, self._heard_us = 0, 0, -(10**12)
        self._shares = False

    @property
    def is_sharing(self) -> bool:
        """Whether probes are shared now; if not, each proxy goes by its own decisions."""
        return self._now_us() - self._heard_us < self._lease_us

    @property
    def assigned_servers(self) -> list[str]:
        """The servers that are this proxy's to probe."""
        return [name for name, holder in self._board.holders.items() if holder == self._identity]

    def post(self, message: Message) -> None:
        """A message for the owner; the result of a probe is kept for the others as well."""
        if isinstance(message, HealthCheckCompleted):
            self._numbers += 1
            self._found[message.server] = self._numbers, self._now_us(), message
        self._inbox.post(message)

    def request_health_check(self, server: str) -> None:
        """The decisions ask for a probe: made by us only while nobody shares."""
        if not self.is_sharing:
            self._probe(server)

    def start_due_checks(self) -> None:
        """Probe what is due, while probes are shared."""
        shares = self.is_sharing
        if shares != self._shares:
            self._shares = shares
            self._log.event("health_check_sharing_started" if shares else "health_check_sharing_stopped")
        hears = self._now_us() - self._heard_us < 3e6 * self._pause_s
        for server in self._board.select_due(self._now_us(), hears=hears) if shares else ():
            self._probe(server)

    async def run(self) -> None:
        looks = asyncio.create_task(self._keep_looking())
        try:
            while True:
                self.start_due_checks()
                await asyncio.sleep(TICK_S)
        finally:
            looks.cancel()

    async def _keep_looking(self) -> None:
        told = ""
        while True:
            try:
                await self.reconcile()
            except Exception as fault:  # a fault of one look must not end the proxy
                if told != repr(fault):
                    told = repr(fault)
                    self._log.event("health_check_sharing_failed", error=told[:200])
            await asyncio.sleep(self._pause_s * self._draws.uniform(0.8, 1.2))

    async def reconcile(self) -> None:
        """Publish what we found since the last look, and read what the others did: one call."""
        if self._place.is_due:
            await self._place.send_next_call()
        token, before_us, now_us = self._place.fencing_token(), self._looked_us, self._now_us()
        read = {"request_range": etcd_api.under(self._prefix)}
        # A proxy whose lease is over may not publish: the others have taken its servers over.
        write = etcd_api.txn([etcd_api.made_at(self._place.key, token)], [self._write(now_us), read], [read])
        answer = (
            await self._engine.call(etcd_api.TXN, write) if token else CallFailure("no place yet", may_have_run=False)
        )
        if isinstance(answer, CallFailure):
            return
        view = etcd_api.read_txn(answer).snapshot
        self._looked_us = now_us
        members = [each for key in (pair.key for pair in view.entries) if (each := self._of(key, "members/"))]
        if self._identity not in members:
            return  # our own place was not there: what we read may be stale, or our lease is over
        self._heard_us = self._now_us()
        if now_us - before_us > 3e6 * self._pause_s:
            self._board.reset_ages(now_us)
        self._board.update(self._servers(), members, self._now_us())
        for pair in view.entries:
            other = self._of(pair.key, "reports/")
            if other and other != self._identity and pair.mod_revision != self._changes.get(other):
                self._changes[other] = pair.mod_revision
                # It was written after the last look began: so much may have been added to its age since.
                self._hand_on(other, pair.value, now_us - before_us if before_us else self._take_us + 1)
        gone = self._changes.keys() - set(members)
        for other in gone:
            del self._changes[other]
        if gone:
            self._taken = {key: number for key, number in self._taken.items() if key[0] not in gone}

    def _of(self, key: str, kind: str) -> str:
        start = self._prefix + kind
        return key.removeprefix(start) if key.startswith(start) else ""

    def _write(self, now_us: int) -> etcd_api.Body:
        listed = set(self._servers())
        self._found = {name: each for name, each in self._found.items() if name in listed}
        reports = {
            name: PublishedHealthCheck(number, (now_us - at_us) // 1000, said.status, said.elapsed_us, said.load_report)
            for name, (number, at_us, said) in self._found.items()
            if now_us - at_us <= self._take_us
        }
        key = f"{self._prefix}reports/{self._identity}"
        return etcd_api.put(key, msgspec.json.encode(reports), self._place.lease_id)

    def _hand_on(self, other: str, data: bytes, since_us: int) -> None:
        try:
            reports = msgspec.json.decode(data, type=Reports)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return  # another version's: as if it had found nothing
        now_us = self._now_us()
        for server, report in reports.items():
            if self._taken.get((other, server)) == report.number:
                continue
            self._taken[other, server] = report.number
            age_us = report.age_ms * 1000 + since_us
            self._board.record_check(server, now_us - age_us, other)
            if age_us <= self._take_us:
                self._inbox.post(HealthCheckCompleted(server, report.status, report.elapsed_us, report.load_report))
