"""Leader election among the proxies; the leader writes the changes of the rollout."""

from __future__ import annotations

from msgspec.structs import replace

from stoatgw.maintenance import events
from stoatgw.maintenance.events import RolloutEvent
from stoatgw.maintenance.keys import StoreSnapshot
from stoatgw.maintenance.proxy_actions import ProxyActions
from stoatgw.maintenance.rollout_planner import FleetSnapshot, RolloutChange, RolloutPlanner
from stoatgw.maintenance.rollout_state import RolloutState, encode
from stoatgw.maintenance.settings import Clocks, MaintenanceSettings
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationStore
from stoatgw.membership.lease_holder import LeaseHolder
from stoatgw.membership.reconcile_loop import ConditionLog
from stoatgw.telemetry.log import EventLog

BLOCKED_REPORT_DELAY_US = 5_000_000  # a rollout is reported as blocked after this time plus the settling time


class RolloutLeader:
    """Campaigns for leadership and, while it is the leader, writes one change at a time.

    A change is written with the fencing token, and only if the stored state is the one it was planned from. So no
    machine's step is started twice: neither by a leader that was paused before its write, nor after a lost response,
    nor over an abort in between.
    """

    def __init__(
        self,
        settings: MaintenanceSettings,
        store: CoordinationStore,
        actions: ProxyActions,
        clocks: Clocks,
        conditions: ConditionLog,
        log: EventLog,
    ) -> None:
        self._plan = settings.plan
        self._identity = settings.identity
        self._rollout_key = settings.keys.rollout
        self._lease_ttl_us = settings.membership.lease_ttl_s * 1_000_000
        self._lease = LeaseHolder(
            store,
            settings.keys.leader_lease,
            settings.identity.encode(),
            settings.membership.lease_ttl_s,
            clocks.monotonic_us,
        )
        self._actions = actions
        self._clocks = clocks
        self._conditions = conditions
        self._log = log
        self._planner = RolloutPlanner(settings.plan)
        self._leader_since_us = 0
        self._blocked_since_us = 0
        self._is_campaigning = True

    @property
    def fencing_token(self) -> int:
        """The fencing token to write with now, or 0."""
        return self._lease.fencing_token()

    async def resign(self) -> None:
        """Release leadership and stop campaigning."""
        self._is_campaigning = False
        await self._lease.release()

    async def campaign(self) -> None:
        """Acquire or renew leadership, if a call for it is due."""
        if not self._is_campaigning or not self._lease.is_due:
            return
        token_before = self._lease.fencing_token()
        await self._lease.send_next_call()
        token = self._lease.fencing_token()
        if token and token != token_before:
            self._planner = RolloutPlanner(self._plan)
            self._leader_since_us = self._clocks.monotonic_us()
            self._log.event(events.LEADERSHIP_ACQUIRED, token=token, identity=self._identity)
        elif token_before and not token:
            self._log.event(events.LEADERSHIP_LOST, token=token_before)

    async def write_next_change(self, snapshot: StoreSnapshot) -> CallFailure | None:
        """Plan the next change from a snapshot and write it; return the failure of a write without response.

        Raises:
            ResponseError: The response is malformed.
        """
        change = self._plan_change(snapshot)
        token = self._lease.fencing_token()  # must be read right before the write
        if change is None or not token:
            return None
        state = change.state
        if change.event is RolloutEvent.STEP_STARTED:
            started_at_ms = self._clocks.unix_us() // 1000
            step = replace(state.steps[change.machine], token=token, started_at_ms=started_at_ms)
            state = state.with_step(change.machine, step)
        result = await self._lease.transact(
            token,
            [etcd_api.put_operation(self._rollout_key, encode(state))],
            compare=[etcd_api.compare_mod_revision(self._rollout_key, snapshot.rollout_revision)],
        )
        if isinstance(result, CallFailure):
            return result  # it may have been written: the next snapshot shows whether it was
        if result.succeeded:
            self._log_change(change, state, token)
        return None

    def _plan_change(self, snapshot: StoreSnapshot) -> RolloutChange | None:
        state = snapshot.rollout
        if state is not None and state.plan_fingerprint != self._plan.fingerprint:
            reason = f"another plan with the name {self._plan.name} is in progress"
            self._conditions.report(events.PLAN_MISMATCHED, reason)
            return None
        self._conditions.clear(events.PLAN_MISMATCHED)
        machines = self._actions.machine_statuses()
        if not machines:
            return None
        now_us = self._clocks.monotonic_us()
        if state is None:
            # Wait for a lease's time to live: within it, a proxy that has seen a state that the engine has lost since
            # reports the loss.
            if now_us - self._leader_since_us < self._lease_ttl_us:
                return None
            return RolloutChange(RolloutState(plan_fingerprint=self._plan.fingerprint), RolloutEvent.ROLLOUT_STARTED)
        change = self._planner.next_change(state, FleetSnapshot(machines, snapshot.members), now_us)
        self._report_blocked(is_blocked=change is None and not state.machines_out_of_service(), now_us=now_us)
        return change

    def _report_blocked(self, *, is_blocked: bool, now_us: int) -> None:
        """Report a rollout that has not progressed for some time, with the planner's reason."""
        reason = self._planner.blocked_reason if is_blocked else ""
        if not reason:
            self._blocked_since_us = 0
        elif not self._blocked_since_us:
            self._blocked_since_us = now_us
        delay_us = BLOCKED_REPORT_DELAY_US + self._plan.settle_s * 1e6
        is_lasting = bool(reason) and now_us - self._blocked_since_us > delay_us
        self._conditions.report(events.ROLLOUT_BLOCKED, reason if is_lasting else "")

    def _log_change(self, change: RolloutChange, state: RolloutState, token: int) -> None:
        out_of_service_count = len(state.machines_out_of_service())
        self._log.event(
            change.event.value,
            machine=change.machine,
            token=token,
            out=out_of_service_count,
            done=len(state.steps) - out_of_service_count,
            of=len(self._plan.machines),
        )
