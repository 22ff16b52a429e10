"""One key of the engine held under a lease: a `Claim` carried out by calls. A duty, or an instance's own place."""

from __future__ import annotations

from collections.abc import Callable

from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationStore
from stoatgw.membership.lease_state import (
    LeaseCall,
    LeaseDenied,
    LeaseFound,
    LeaseGranted,
    LeaseOutcomeUnknown,
    LeaseResult,
    LeaseState,
)

GUARD_US = 500_000  # a holder gives up so much before the engine would, for clocks that run apart and late turns
RENEWALS = 3  # in a term


class LeaseHolder:
    def __init__(
        self, engine: CoordinationStore, key: str, value: bytes, lease_s: int, now_us: Callable[[], int]
    ) -> None:
        """`value` has to be this instance's alone: by it an acquire that was not answered is looked up."""
        self._engine, self.key, self._value = engine, key, value
        self._lease_s, self._now_us = lease_s, now_us
        self._claim, self._asked_us = LeaseState(GUARD_US), -(10**12)
        self.lease_id = 0

    @property
    def is_due(self) -> bool:
        """Whether a call is due: often enough that one or two may be lost."""
        return self._now_us() - self._asked_us >= self._lease_s * 1_000_000 // RENEWALS

    def fencing_token(self) -> int:
        """The token to act under now, or 0. To be asked right before each act."""
        return self._claim.valid_token(self._now_us())

    async def send_next_call(self) -> CallFailure | None:
        """The next call; gives the fault if it was not answered."""
        self._asked_us = self._now_us()
        self._claim, ask = self._claim.next_call(self._asked_us)
        fault: CallFailure | None = None
        answer: LeaseResult = LeaseOutcomeUnknown()
        try:
            match ask:
                case LeaseCall.ACQUIRE:
                    answer = await self._acquire()
                case LeaseCall.RENEW:
                    answer = await self._renew()
                case LeaseCall.LOOKUP:
                    answer = await self._look()
        except _FaultError as error:
            fault = error.fault
        except etcd_api.ResponseError as error:
            fault = CallFailure(str(error), may_have_run=True)
        self._claim = self._claim.record_result(answer)
        return fault

    async def release(self) -> None:
        """Give it up, so that another need not wait for the lease's end. A lost call costs just that wait."""
        lease, self.lease_id = self.lease_id, 0
        self._claim = LeaseState(GUARD_US)
        if lease:
            await self._engine.call(etcd_api.REVOKE, etcd_api.of_lease(lease))

    async def _call(self, path: str, body: etcd_api.Body) -> etcd_api.Body:
        answer = await self._engine.call(path, body)
        if isinstance(answer, CallFailure):
            raise _FaultError(answer)
        return answer

    async def _acquire(self) -> LeaseResult:
        lease, ttl_s = etcd_api.read_grant(await self._call(etcd_api.GRANT, etcd_api.grant(self._lease_s)))
        self.lease_id = lease
        put = etcd_api.put(self.key, self._value, lease)
        take = etcd_api.txn([etcd_api.made_at(self.key, 0)], [put], [etcd_api.read(self.key)])
        end = etcd_api.read_txn(await self._call(etcd_api.TXN, take))
        if end.succeeded:
            return LeaseGranted(end.snapshot.revision, ttl_s * 1_000_000)
        pair = end.snapshot.get(self.key)
        if pair is not None and pair.value == self._value:
            return LeaseOutcomeUnknown()  # an acquire that was given up has won after all: it is looked up next
        await self._engine.call(etcd_api.REVOKE, etcd_api.of_lease(lease))
        self.lease_id = 0
        return LeaseDenied()

    async def _renew(self) -> LeaseResult:
        ttl_s = etcd_api.read_keep_alive(await self._call(etcd_api.KEEP_ALIVE, etcd_api.of_lease(self.lease_id)))
        return LeaseGranted(self._claim.token, ttl_s * 1_000_000) if ttl_s else LeaseDenied()

    async def _look(self) -> LeaseResult:
        found = etcd_api.read_range(await self._call(etcd_api.RANGE, {"key": etcd_api.pack(self.key.encode())}))
        pair = found.get(self.key)
        if pair is None or pair.value != self._value:
            return LeaseDenied()
        self.lease_id = pair.lease_id
        return LeaseFound(pair.create_revision)


class _FaultError(Exception):
    def __init__(self, fault: CallFailure) -> None:
        super().__init__(fault.reason)
        self.fault = fault
