"""Holds one key of the engine under a lease, for leader election or membership: sends the calls of a `LeaseState`."""

from __future__ import annotations

from collections.abc import Callable, Iterable

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

SAFETY_MARGIN_US = 500_000  # a holder's validity ends before the engine's: covers clock drift and event-loop delays
RENEWALS_PER_TTL = 3
DISTANT_PAST_US = -(10**12)


class LeaseHolder:
    """Acquires a key, keeps its lease alive, and writes with its fencing token. Used from one task at a time."""

    def __init__(self, store: CoordinationStore, key: str, value: bytes, ttl_s: int, now_us: Callable[[], int]) -> None:
        """Create a holder without a lease.

        Args:
            store: Sends the calls.
            key: The key to hold.
            value: The key's value; unique to this process, so that it recognises a key that it acquired by a call
                whose response was lost.
            ttl_s: The lease's time to live.
            now_us: A monotonic clock.
        """
        self._store = store
        self.key = key
        self._value = value
        self._ttl_s = ttl_s
        self._now_us = now_us
        self._state = LeaseState(SAFETY_MARGIN_US)
        self._last_call_us = DISTANT_PAST_US
        self.lease_id = 0

    @property
    def is_due(self) -> bool:
        """Whether a call is due; calls are frequent enough that one or two may be lost."""
        return self._now_us() - self._last_call_us >= self._ttl_s * 1_000_000 // RENEWALS_PER_TTL

    def fencing_token(self) -> int:
        """Return the token to write with now, or 0. Must be called right before each write."""
        return self._state.valid_token(self._now_us())

    async def send_next_call(self) -> CallFailure | None:
        """Acquire, renew or look up the lease, whichever is next; return the failure of a call without response."""
        self._last_call_us = self._now_us()
        self._state, call = self._state.next_call(self._last_call_us)
        failure: CallFailure | None = None
        result: LeaseResult = LeaseOutcomeUnknown()
        try:
            match call:
                case LeaseCall.ACQUIRE:
                    result = await self._acquire()
                case LeaseCall.RENEW:
                    result = await self._renew()
                case LeaseCall.LOOKUP:
                    result = await self._look_up()
        except _CallError as error:
            failure = error.failure
        except etcd_api.ResponseError as error:
            failure = CallFailure(str(error), may_have_run=True)
        self._state = self._state.record_result(result)
        return failure

    async def transact(
        self,
        token: int,
        operations: Iterable[etcd_api.Body],
        *,
        compare: Iterable[etcd_api.Body] = (),
        otherwise: Iterable[etcd_api.Body] = (),
    ) -> etcd_api.TransactionResult | CallFailure:
        """Run operations in one transaction, provided that the key is still held with a fencing token.

        Args:
            token: This holder's fencing token, read right before the call.
            operations: Run if all comparisons hold.
            compare: Further comparisons.
            otherwise: Run if a comparison does not hold.

        Raises:
            ResponseError: The response is malformed.
        """
        comparisons = [etcd_api.compare_create_revision(self.key, token), *compare]
        request = etcd_api.transaction(comparisons, operations, otherwise)
        response = await self._store.call(etcd_api.TRANSACTION_PATH, request)
        if isinstance(response, CallFailure):
            return response
        return etcd_api.parse_transaction(response)

    async def release(self) -> None:
        """Revoke the lease, so that others need not wait until it expires. If the call is lost, they wait."""
        lease_id = self.lease_id
        self.lease_id = 0
        self._state = LeaseState(SAFETY_MARGIN_US)
        if lease_id:
            await self._store.call(etcd_api.LEASE_REVOKE_PATH, etcd_api.lease_request(lease_id))

    async def _call(self, path: str, body: etcd_api.Body) -> etcd_api.Body:
        response = await self._store.call(path, body)
        if isinstance(response, CallFailure):
            raise _CallError(response)
        return response

    async def _acquire(self) -> LeaseResult:
        response = await self._call(etcd_api.LEASE_GRANT_PATH, etcd_api.lease_grant_request(self._ttl_s))
        grant = etcd_api.parse_lease_grant(response)
        self.lease_id = grant.lease_id
        create_key = etcd_api.transaction(
            [etcd_api.compare_create_revision(self.key, 0)],
            [etcd_api.put_operation(self.key, self._value, grant.lease_id)],
            [etcd_api.range_operation(etcd_api.key_range(self.key))],
        )
        result = etcd_api.parse_transaction(await self._call(etcd_api.TRANSACTION_PATH, create_key))
        if result.succeeded:
            return LeaseGranted(result.snapshot.revision, grant.ttl_s * 1_000_000)
        entry = result.snapshot.get(self.key)
        if entry is not None and entry.value == self._value:
            return LeaseOutcomeUnknown()  # an earlier acquire without response has succeeded; the lookup is next
        await self._store.call(etcd_api.LEASE_REVOKE_PATH, etcd_api.lease_request(grant.lease_id))
        self.lease_id = 0
        return LeaseDenied()

    async def _renew(self) -> LeaseResult:
        response = await self._call(etcd_api.LEASE_KEEP_ALIVE_PATH, etcd_api.lease_request(self.lease_id))
        ttl_s = etcd_api.parse_keep_alive(response)
        return LeaseGranted(self._state.token, ttl_s * 1_000_000) if ttl_s else LeaseDenied()

    async def _look_up(self) -> LeaseResult:
        snapshot = etcd_api.parse_range(await self._call(etcd_api.RANGE_PATH, etcd_api.key_range(self.key)))
        entry = snapshot.get(self.key)
        if entry is None or entry.value != self._value:
            return LeaseDenied()
        self.lease_id = entry.lease_id
        return LeaseFound(entry.create_revision)


class _CallError(Exception):
    """A call within a sequence of calls has failed."""

    def __init__(self, failure: CallFailure) -> None:
        super().__init__(failure.reason)
        self.failure = failure
