"""Shared health checks in one proxy: checks the assigned servers, publishes results, and receives other proxies'."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.controller.messages import HealthCheckCompleted, Message, MessageQueue
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationStore
from stoatgw.membership.lease_holder import DISTANT_PAST_US, LeaseHolder
from stoatgw.membership.reconcile_loop import Condition, ConditionLog, run_reconcile_loop
from stoatgw.shared_health_checks.assignment import HealthCheckAssignment
from stoatgw.shared_health_checks.published import OwnResults, PeerResults
from stoatgw.telemetry.log import EventLog

TICK_INTERVAL_S = 0.05
MISSED_POLLS = 3  # a proxy without a snapshot for this many poll intervals counts as partitioned
RECONCILE_FAILED = Condition("health_check_sharing_failed", logs_each_reason=True)


class SharingEvent(StrEnum):
    """Log events of the start and the end of sharing."""

    STARTED = "health_check_sharing_started"
    STOPPED = "health_check_sharing_stopped"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyHooks:
    """The interface between the checker and the proxy that it runs in.

    Attributes:
        queue: The controller's message queue.
        start_check: Starts a health check of a server; its result is posted to the checker.
        list_servers: Returns the names of the session servers that discovery lists.
    """

    queue: MessageQueue
    start_check: Callable[[str], None]
    list_servers: Callable[[], list[str]]


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedHealthCheckSettings:
    """The operators' settings, and this process's identity at the coordination engine."""

    membership: MembershipConfig
    sharing: SharedHealthChecksConfig
    identity: str


class SharedHealthChecker:
    """Runs shared health checks; the proxy's health checker posts its results through it to the controller's queue."""

    def __init__(
        self,
        settings: SharedHealthCheckSettings,
        *,
        store: CoordinationStore,
        hooks: ProxyHooks,
        now_us: Callable[[], int],
        log: EventLog,
        jitter: random.Random,
    ) -> None:
        membership = settings.membership
        self._identity = settings.identity
        self._hooks = hooks
        self._now_us = now_us
        self._log = log
        self._jitter = jitter
        self._conditions = ConditionLog(log)
        prefix = f"{membership.scope}/sharing/"
        self._all_keys = etcd_api.range_operation(etcd_api.prefix_range(prefix))
        self._members_prefix = f"{prefix}members/"
        self._reports_prefix = f"{prefix}reports/"
        self._lease = LeaseHolder(
            store,
            self._members_prefix + settings.identity,
            settings.identity.encode(),
            membership.lease_ttl_s,
            now_us,
        )
        self._lease_ttl_us = membership.lease_ttl_s * 1_000_000
        self._poll_interval_s = membership.poll_interval_ms / 1000
        self._max_gap_us = MISSED_POLLS * 1e6 * self._poll_interval_s
        self._max_report_age_us = settings.sharing.max_report_age_ms * 1000
        self._assignment = HealthCheckAssignment(settings.identity, settings.sharing)
        self._own_results = OwnResults(self._max_report_age_us)
        self._peer_results = PeerResults()
        self._last_snapshot_us = 0  # when the call for the last snapshot was sent; 0: none yet
        self._last_member_us = DISTANT_PAST_US  # when a snapshot last listed this proxy as a member
        self._was_sharing = False

    @property
    def is_sharing(self) -> bool:
        """Whether health checks are shared now; if not, each proxy checks as its own decisions request."""
        return self._now_us() - self._last_member_us < self._lease_ttl_us

    @property
    def assigned_servers(self) -> list[str]:
        """The servers assigned to this proxy."""
        return [name for name, member in self._assignment.assignees.items() if member == self._identity]

    def post(self, message: Message) -> None:
        """Forward a message to the controller; record the result of a health check for publication."""
        if isinstance(message, HealthCheckCompleted):
            self._own_results.record(message, self._now_us())
        self._hooks.queue.post(message)

    def request_health_check(self, server: str) -> None:
        """Start a health check that the decisions request, unless health checks are shared."""
        if not self.is_sharing:
            self._hooks.start_check(server)

    def start_due_checks(self) -> None:
        """Start the checks that are due, while health checks are shared."""
        is_sharing = self.is_sharing
        if is_sharing != self._was_sharing:
            self._was_sharing = is_sharing
            self._log.event((SharingEvent.STARTED if is_sharing else SharingEvent.STOPPED).value)
        if not is_sharing:
            return
        now_us = self._now_us()
        is_receiving = now_us - self._last_member_us < self._max_gap_us
        for server in self._assignment.select_due(now_us, is_receiving=is_receiving):
            self._hooks.start_check(server)

    async def run(self) -> None:
        """Check and reconcile until cancelled."""
        reconciling = asyncio.create_task(
            run_reconcile_loop(
                self.reconcile,
                lambda error: self._conditions.report(RECONCILE_FAILED, repr(error)),
                interval_s=self._poll_interval_s,
                jitter=self._jitter,
            )
        )
        try:
            while True:
                self.start_due_checks()
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            reconciling.cancel()

    async def reconcile(self) -> None:
        """Publish this proxy's results and read the other proxies' in one call.

        Raises:
            ResponseError: The response is malformed.
        """
        if self._lease.is_due:
            await self._lease.send_next_call()
        token = self._lease.fencing_token()
        previous_us = self._last_snapshot_us
        now_us = self._now_us()
        publish = etcd_api.put_operation(
            self._reports_prefix + self._identity,
            self._own_results.encode(set(self._hooks.list_servers()), now_us),
            self._lease.lease_id,
        )
        if not token:
            return
        # A proxy whose lease has expired must not publish: other proxies have taken over its servers.
        result = await self._lease.transact(token, [publish, self._all_keys], otherwise=[self._all_keys])
        if isinstance(result, CallFailure):
            return
        self._last_snapshot_us = now_us
        members = self._list_members(result.snapshot)
        if self._identity not in members:
            return  # the snapshot may be stale, or the lease has expired
        self._last_member_us = self._now_us()
        if now_us - previous_us > self._max_gap_us:
            self._assignment.reset_last_checks(now_us)
        self._assignment.update(self._hooks.list_servers(), members, self._now_us())
        # A new report was written after the call for the previous snapshot, so its age grew by at most the time since.
        added_age_us = now_us - previous_us if previous_us else self._max_report_age_us + 1
        self._receive_reports(result.snapshot, added_age_us)
        self._peer_results.retain(members)

    def _list_members(self, snapshot: etcd_api.RangeSnapshot) -> list[str]:
        keys = (entry.key for entry in snapshot.entries if entry.key.startswith(self._members_prefix))
        return [key.removeprefix(self._members_prefix) for key in keys if key != self._members_prefix]

    def _receive_reports(self, snapshot: etcd_api.RangeSnapshot, added_age_us: int) -> None:
        """Post the results that other members published since the previous snapshot, unless they may be too old."""
        ignored = (self._reports_prefix, self._reports_prefix + self._identity)
        for entry in snapshot.entries:
            if not entry.key.startswith(self._reports_prefix) or entry.key in ignored:
                continue
            member = entry.key.removeprefix(self._reports_prefix)
            if not self._peer_results.has_changed(member, entry.mod_revision):
                continue
            now_us = self._now_us()
            for server, published in self._peer_results.new_results(member, entry.value):
                age_us = published.age_ms * 1000 + added_age_us
                self._assignment.record_check(server, now_us - age_us, member)
                if age_us <= self._max_report_age_us:
                    self._hooks.queue.post(
                        HealthCheckCompleted(server, published.status, published.elapsed_us, published.load_report)
                    )
