"""One key of the engine held under a lease: a `Claim` carried out by calls. A duty, or an instance's own place."""

from __future__ import annotations

from collections.abc import Callable

from stoatgw.membership import words
from stoatgw.membership.claim import Answer, Ask, Claim, Found, Held, Refused, Unknown
from stoatgw.membership.engine import Caller, Fault

GUARD_US = 500_000  # a holder gives up so much before the engine would, for clocks that run apart and late turns
RENEWALS = 3  # in a term


class Holder:
    def __init__(self, engine: Caller, key: str, value: bytes, lease_s: int, now_us: Callable[[], int]) -> None:
        """`value` has to be this instance's alone: by it an acquire that was not answered is looked up."""
        self._engine, self.key, self._value = engine, key, value
        self._lease_s, self._now_us = lease_s, now_us
        self._claim, self._asked_us = Claim(GUARD_US), -(10**12)
        self.lease = 0

    @property
    def due(self) -> bool:
        """Whether a call is due: often enough that one or two may be lost."""
        return self._now_us() - self._asked_us >= self._lease_s * 1_000_000 // RENEWALS

    def token(self) -> int:
        """The token to act under now, or 0. To be asked right before each act."""
        return self._claim.acts(self._now_us())

    async def step(self) -> Fault | None:
        """The next call; gives the fault if it was not answered."""
        self._asked_us = self._now_us()
        self._claim, ask = self._claim.ask(self._asked_us)
        fault: Fault | None = None
        answer: Answer = Unknown()
        try:
            match ask:
                case Ask.ACQUIRE:
                    answer = await self._acquire()
                case Ask.RENEW:
                    answer = await self._renew()
                case Ask.LOOK:
                    answer = await self._look()
        except _FaultError as error:
            fault = error.fault
        except words.AnswerError as error:
            fault = Fault(str(error), sent=True)
        self._claim = self._claim.answered(answer)
        return fault

    async def release(self) -> None:
        """Give it up, so that another need not wait for the lease's end. A lost call costs just that wait."""
        lease, self.lease = self.lease, 0
        self._claim = Claim(GUARD_US)
        if lease:
            await self._engine.call(words.REVOKE, words.of_lease(lease))

    async def _call(self, path: str, body: words.Body) -> words.Body:
        answer = await self._engine.call(path, body)
        if isinstance(answer, Fault):
            raise _FaultError(answer)
        return answer

    async def _acquire(self) -> Answer:
        lease, ttl_s = words.read_grant(await self._call(words.GRANT, words.grant(self._lease_s)))
        self.lease = lease
        put = words.put(self.key, self._value, lease)
        take = words.txn([words.made_at(self.key, 0)], [put], [words.read(self.key)])
        end = words.read_txn(await self._call(words.TXN, take))
        if end.done:
            return Held(end.view.revision, ttl_s * 1_000_000)
        pair = end.view.get(self.key)
        if pair is not None and pair.value == self._value:
            return Unknown()  # an acquire that was given up has won after all: it is looked up next
        await self._engine.call(words.REVOKE, words.of_lease(lease))
        self.lease = 0
        return Refused()

    async def _renew(self) -> Answer:
        ttl_s = words.read_keep_alive(await self._call(words.KEEP_ALIVE, words.of_lease(self.lease)))
        return Held(self._claim.token, ttl_s * 1_000_000) if ttl_s else Refused()

    async def _look(self) -> Answer:
        found = words.read_range(await self._call(words.RANGE, {"key": words.pack(self.key.encode())}))
        pair = found.get(self.key)
        if pair is None or pair.value != self._value:
            return Refused()
        self.lease = pair.lease
        return Found(pair.create)


class _FaultError(Exception):
    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.why)
        self.fault = fault
