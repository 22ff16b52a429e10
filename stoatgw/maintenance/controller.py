"""One proxy's part in a maintenance: looks at the engine, takes out what the ledger says, tells what is empty, and,
while it holds the duty, writes the next step. Everything it does is safe to do late, twice, or not at all."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Protocol

import msgspec

from stoatgw.config.maintenance import PROXY_PREFIX, MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.maintenance.keys import MaintenanceKeys, MemberStatus, StoreSnapshot, read_store_snapshot
from stoatgw.maintenance.rollout_planner import FleetSnapshot, MachineStatus, RolloutChange, RolloutPlanner
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStateError, StepState, encode
from stoatgw.maintenance.state_file import RolloutStateFile, RolloutStateFileError
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationStore
from stoatgw.membership.lease_holder import LeaseHolder
from stoatgw.telemetry.log import EventLog

BLOCKED_US = 5_000_000  # a maintenance that stands still is told of after so long


class ProxyActions(Protocol):
    """What the agent does to its own proxy, and sees through it."""

    def set_servers_out(self, servers: dict[str, int]) -> None:
        """These session servers are out for the maintenance, since then (us); all others are not."""

    def start_drain(self) -> None: ...

    def cancel_drain(self) -> None: ...

    def count_connections(self, server: str) -> int:
        """Connections of this proxy there, standing or under way."""

    def count_clients(self) -> int: ...

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """The session servers as discovery tells them; empty while it has told nothing."""


class MaintenanceController:
    def __init__(
        self,
        told: MembershipConfig,
        plan: MaintenancePlan,
        name: str,
        engine: CoordinationStore,
        hands: ProxyActions,
        folder: str | None,
        now_us: Callable[[], int],
        unix_us: Callable[[], int],
        log: EventLog,
        draws: random.Random,
        nonce: str,
    ) -> None:
        """`now_us`: monotonic. `unix_us` only marks times for people, and this process's start. `nonce`: another for
        each process, so that a name used twice, or again after a crash, is not taken for one holder."""
        self._plan, self._engine, self._hands, self._log, self._draws = plan, engine, hands, log, draws
        self._now_us, self._unix_us, self._pause_s = now_us, unix_us, told.poll_interval_ms / 1000
        self._keys, self._name, self._start_ms = MaintenanceKeys(told.scope, plan.name), name, unix_us() // 1000
        self._identity = f"{name}-{nonce}"
        value = self._identity.encode()
        self._place = LeaseHolder(engine, self._keys.member(self._identity), value, told.lease_ttl_s, now_us)
        self._duty = LeaseHolder(engine, self._keys.leader_lease, value, told.lease_ttl_s, now_us)
        self._lease_us = told.lease_ttl_s * 1_000_000
        self._record = RolloutStateFile(Path(folder), plan.name) if folder else None
        self._steward = RolloutPlanner(plan)
        self._ledger: RolloutState | None = None
        self._change, self._revision, self._held_since_us = 0, 0, 0
        self._out_us: dict[str, int] = {}
        self._drained, self._blocked_us = False, 0
        self._told_before: set[str] = set()
        self._said: tuple[bytes, int] = b"", 0
        self._leads = True
        self._noted: dict[str, str] = {}

    def start(self) -> None:
        """What was out before this process began is out before it hears of any list."""
        if self._record is None:
            self._note("maintenance_not_kept", "TMPDIR is not set")
            return
        try:
            self._ledger = self._record.load()
        except RolloutStateFileError as fault:  # the engine has it; until it answers nothing is known to be out
            self._note("maintenance_unread", str(fault))
        self._apply()

    async def run(self) -> None:
        """Looks again and again; a fault of one look must not end the proxy."""
        while True:
            try:
                await self.reconcile()
            except Exception as fault:
                self._note("maintenance_fault", repr(fault))
            await asyncio.sleep(self._pause_s * self._draws.uniform(0.8, 1.2))

    @property
    def fencing_token(self) -> int:
        """Of the duty, while this agent may act under it; else 0."""
        return self._duty.fencing_token()

    async def stop(self) -> None:
        """The process is stopping: another may hold the duty from now on. Its place ends with its lease."""
        self._leads = False
        await self._duty.release()

    async def reconcile(self) -> None:
        """One look at the engine, and what follows from it."""
        if self._place.is_due:
            self._heard(await self._place.send_next_call())
        found = await self._engine.call(etcd_api.RANGE, etcd_api.under(self._keys.prefix))
        if isinstance(found, CallFailure):
            self._heard(found)
            return
        try:
            look = read_store_snapshot(self._keys, etcd_api.read_range(found))
        except (etcd_api.ResponseError, RolloutStateError) as error:
            self._note("maintenance_unreadable", str(error))
            return
        self._heard(None)
        if not self._take(look):
            return
        await self._say()
        if self._leads and self._duty.is_due:
            before = self._duty.fencing_token()
            await self._duty.send_next_call()
            token = self._duty.fencing_token()
            if token and token != before:
                self._steward, self._held_since_us = RolloutPlanner(self._plan), self._now_us()
                self._log.event("maintenance_leadership_acquired", token=token, identity=self._identity)
            elif before and not token:
                self._log.event("maintenance_leadership_lost", token=before)
        if self._duty.fencing_token():
            await self._lead(look)

    def _heard(self, fault: CallFailure | None) -> None:
        """An engine that is away is told once, and once more when it is back."""
        self._note("maintenance_engine_lost", "" if fault is None else fault.reason)

    def _note(self, event: str, why: str) -> None:
        """A lasting trouble is logged when it begins and, where it does, when it ends."""
        if why and event not in self._noted:
            self._log.event(event, error=why[:200])
        elif not why and event in self._noted:
            self._log.event(f"{event}_no_more")
        if why:
            self._noted[event] = why
        else:
            self._noted.pop(event, None)

    def _take(self, look: StoreSnapshot) -> bool:
        """The engine's ledger becomes ours; whether this proxy may go by what it saw."""
        if look.revision < self._revision:
            self._note("maintenance_stale", "an older state than one seen before")
            # One answer may be stale; an engine that stays behind has lost its state, and nobody may begin anew.
            return False
        self._note("maintenance_stale", "")
        self._revision = look.revision
        if look.rollout is None:
            gone = self._ledger is not None
            self._note("maintenance_halted", "the engine has lost the ledger" if gone else "")
            return not gone
        self._note("maintenance_halted", "")
        if look.rollout_revision != self._change:
            self._change, self._ledger = look.rollout_revision, look.rollout
            self._keep()
            self._apply()
        return True

    def _keep(self) -> None:
        if self._record is None or self._ledger is None:
            return
        try:
            self._record.save(self._ledger)
            self._note("maintenance_not_kept", "")
        except RolloutStateFileError as fault:  # the engine has it as well
            self._note("maintenance_not_kept", str(fault))

    def _apply(self) -> None:
        """Take out what is out; bring back what is not any more."""
        out = self._ledger.machines_out() if self._ledger is not None else []
        now_us, me = self._unix_us(), PROXY_PREFIX + self._name
        self._out_us = {name: self._out_us.get(name, now_us) for name in out if not name.startswith(PROXY_PREFIX)}
        self._hands.set_servers_out(self._out_us)
        # A process that began later is what its proxy was taken out for. Both times are by this machine's clock.
        mine = me in out and self._ledger is not None and self._start_ms <= self._ledger.steps[me].machine_start_ms
        if mine and not self._drained:
            self._hands.start_drain()
        elif self._drained and not mine:
            self._hands.cancel_drain()
        self._drained = mine

    def _empty(self, out: Iterable[str]) -> list[str]:
        hands = self._hands
        return [
            name
            for name in out
            if (hands.count_clients() if name.startswith(PROXY_PREFIX) else hands.count_connections(name)) == 0
        ]

    async def _say(self) -> None:
        """Tell under our own place what is out here, and what of it has nobody on it."""
        token = self._place.fencing_token()
        if not token:
            return
        told = [*self._out_us, *([PROXY_PREFIX + self._name] if self._drained else [])]
        # What is told now was taken out in an earlier look or in this one: who is under way counts as there.
        empty = self._empty(name for name in told if name in self._told_before)
        self._told_before = set(told)
        data = msgspec.json.encode(MemberStatus(self._name, self._start_ms, tuple(sorted(told)), tuple(sorted(empty))))
        if self._said == (data, token):
            return
        write = etcd_api.txn(
            [etcd_api.made_at(self._place.key, token)],
            [etcd_api.put(self._keys.member_status(self._identity), data, self._place.lease_id)],
        )
        found = await self._engine.call(etcd_api.TXN, write)
        if not isinstance(found, CallFailure) and etcd_api.read_txn(found).succeeded:
            self._said = data, token

    async def _lead(self, look: StoreSnapshot) -> None:
        """Write the next step, if one is due. The engine takes it only from the duty's holder, on the ledger seen."""
        ledger = look.rollout
        if ledger is not None and ledger.plan_fingerprint != self._plan.fingerprint:
            self._note("maintenance_plan_differs", f"another plan of the name {self._plan.name} is under way")
            return
        self._note("maintenance_plan_differs", "")
        machines = self._hands.machine_statuses()
        if not machines:
            return
        if ledger is None:
            # Whoever has seen a ledger that the engine lost has come back and halted within a lease.
            if self._now_us() - self._held_since_us < self._lease_us:
                return
            change: RolloutChange | None = RolloutChange(RolloutState(plan_fingerprint=self._plan.fingerprint), "begun")
        else:
            change = self._steward.next_change(ledger, FleetSnapshot(machines, look.members), self._now_us())
            waits = change is None and not ledger.machines_out() and self._steward.blocked_reason
            self._blocked_us = (self._blocked_us or self._now_us()) if waits else 0
            lasts = waits and self._now_us() - self._blocked_us > BLOCKED_US + self._plan.settle_s * 1e6
            self._note("maintenance_blocked", self._steward.blocked_reason if lasts else "")
        if change is None:
            return
        fresh, token = change.state, self._duty.fencing_token()
        if change.event == "step_out":
            step = msgspec.structs.replace(
                fresh.steps[change.machine], token=token, started_at_ms=self._unix_us() // 1000
            )
            fresh = fresh.with_step(change.machine, step)
        write = etcd_api.txn(
            [
                etcd_api.made_at(self._keys.leader_lease, token),
                etcd_api.changed_at(self._keys.rollout, look.rollout_revision),
            ],
            [etcd_api.put(self._keys.rollout, encode(fresh))],
        )
        if not token:  # asked right before the act
            return
        found = await self._engine.call(etcd_api.TXN, write)
        if isinstance(found, CallFailure):
            self._heard(found)  # it may have been written: the next look tells
        elif etcd_api.read_txn(found).succeeded:
            out = sum(step.state is StepState.OUT for step in fresh.steps.values())
            self._log.event(
                f"maintenance_{change.event}",
                machine=change.machine,
                token=token,
                out=out,
                done=len(fresh.steps) - out,
                of=len(self._plan.machines),
            )
