"""The maintenance controller of one proxy: a reconcile loop over snapshots of the coordination engine.

Each pass reads a snapshot, applies the rollout state to this proxy, publishes its status and, while this proxy is the
leader, writes the next change. Each of these is idempotent, and may be late or fail.
"""

from __future__ import annotations

import random
from pathlib import Path

from stoatgw.maintenance import events
from stoatgw.maintenance.keys import StoreSnapshot, read_store_snapshot
from stoatgw.maintenance.local_rollout import LocalRollout
from stoatgw.maintenance.proxy_actions import ProxyActions
from stoatgw.maintenance.rollout_leader import RolloutLeader
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStateError
from stoatgw.maintenance.settings import Clocks, MaintenanceSettings
from stoatgw.maintenance.state_file import RolloutStateFile, RolloutStateFileError
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationStore
from stoatgw.membership.lease_holder import LeaseHolder
from stoatgw.membership.reconcile_loop import ConditionLog, run_reconcile_loop
from stoatgw.telemetry.log import EventLog


class MaintenanceController:
    """Reconciles this proxy with the rollout state in the engine. `run` runs as a task."""

    def __init__(
        self,
        settings: MaintenanceSettings,
        *,
        store: CoordinationStore,
        actions: ProxyActions,
        clocks: Clocks,
        log: EventLog,
        jitter: random.Random,
    ) -> None:
        self._settings = settings
        self._keys = settings.keys
        self._store = store
        self._jitter = jitter
        self._conditions = ConditionLog(log)
        self._membership_lease = LeaseHolder(
            store,
            self._keys.member(settings.identity),
            settings.identity.encode(),
            settings.membership.lease_ttl_s,
            clocks.monotonic_us,
        )
        self._local = LocalRollout(settings, self._membership_lease, actions, clocks)
        self._leader = RolloutLeader(settings, store, actions, clocks, self._conditions, log)
        self._state_file: RolloutStateFile | None = None
        if settings.state_directory:
            self._state_file = RolloutStateFile(Path(settings.state_directory), settings.plan.name)
        self._state: RolloutState | None = None
        self._state_revision = 0
        self._store_revision = 0

    def start(self) -> None:
        """Take the machines of the persisted state out of service. Must be called before the first endpoint list."""
        if self._state_file is None:
            self._conditions.report(events.STATE_FILE_WRITE_FAILED, "TMPDIR is not set")
            return
        try:
            self._state = self._state_file.load()
        except RolloutStateFileError as error:
            # The engine has the state as well; until it responds, no machine is known to be out of service.
            self._conditions.report(events.STATE_FILE_READ_FAILED, str(error))
        self._local.apply(self._state)

    async def run(self) -> None:
        """Reconcile until cancelled."""
        await run_reconcile_loop(
            self.reconcile,
            lambda error: self._conditions.report(events.RECONCILE_FAILED, repr(error)),
            interval_s=self._settings.membership.poll_interval_ms / 1000,
            jitter=self._jitter,
        )

    @property
    def fencing_token(self) -> int:
        """The leader's fencing token while this proxy is the leader and may write with it; else 0."""
        return self._leader.fencing_token

    async def stop(self) -> None:
        """Resign leadership since the process is stopping. Membership ends when its lease expires."""
        await self._leader.resign()

    async def reconcile(self) -> None:
        """Run one pass: read a snapshot of the engine and act on it."""
        if self._membership_lease.is_due:
            self._report_call(await self._membership_lease.send_next_call())
        snapshot = await self._read_snapshot()
        if snapshot is None or not self._accept(snapshot):
            return
        await self._local.publish()
        await self._leader.campaign()
        if self._leader.fencing_token:
            failure = await self._leader.write_next_change(snapshot)
            if failure is not None:
                self._report_call(failure)

    def _report_call(self, failure: CallFailure | None) -> None:
        """Log once that the engine does not respond, and once that it responds again."""
        self._conditions.report(events.ENGINE_DISCONNECTED, "" if failure is None else failure.reason)

    async def _read_snapshot(self) -> StoreSnapshot | None:
        response = await self._store.call(etcd_api.RANGE_PATH, etcd_api.prefix_range(self._keys.prefix))
        if isinstance(response, CallFailure):
            self._report_call(response)
            return None
        try:
            snapshot = read_store_snapshot(self._keys, etcd_api.parse_range(response))
        except (etcd_api.ResponseError, RolloutStateError) as error:
            self._conditions.report(events.SNAPSHOT_REJECTED, str(error))
            return None
        self._report_call(None)
        return snapshot

    def _accept(self, snapshot: StoreSnapshot) -> bool:
        """Adopt a snapshot's rollout state and return whether this proxy may act on the snapshot."""
        if snapshot.revision < self._store_revision:
            # One response may be stale. An engine that stays behind has lost data: no proxy may start the rollout anew.
            self._conditions.report(events.STALE_REVISION, "the snapshot's revision is lower than one seen before")
            return False
        self._conditions.clear(events.STALE_REVISION)
        self._store_revision = snapshot.revision
        if snapshot.rollout is None:
            is_lost = self._state is not None
            self._conditions.report(events.ROLLOUT_HALTED, "the engine has lost the rollout state" if is_lost else "")
            return not is_lost
        self._conditions.clear(events.ROLLOUT_HALTED)
        if snapshot.rollout_revision != self._state_revision:
            self._state_revision = snapshot.rollout_revision
            self._state = snapshot.rollout
            self._persist(snapshot.rollout)
            self._local.apply(snapshot.rollout)
        return True

    def _persist(self, state: RolloutState) -> None:
        if self._state_file is None:
            return
        try:
            self._state_file.save(state)
        except RolloutStateFileError as error:  # not fatal: the engine has the state as well
            self._conditions.report(events.STATE_FILE_WRITE_FAILED, str(error))
        else:
            self._conditions.clear(events.STATE_FILE_WRITE_FAILED)
