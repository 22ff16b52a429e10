"""Calls to the coordination engine: one connection a call, one deadline, further endpoints where one is not reached."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import httptools
import orjson

from stoatgw.config.deployment import Address, parse_address
from stoatgw.config.membership import MembershipConfig
from stoatgw.membership.etcd_api import Body
from stoatgw.sockets import tcp

ANSWER_MOST = 1 << 20  # a ledger of thousands of machines is well under it; guards against a flood


@dataclass(frozen=True, slots=True)
class CallFailure:
    """No answer that can be used. `sent`: the engine may have carried the call out all the same."""

    reason: str
    may_have_run: bool


class _Answer:
    """Feeds an HTTP answer to httptools, up to the cap."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.body, self.done, self.status = bytearray(), False, 0

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.done = True

    def feed(self, data: bytes) -> None:
        """Raises ValueError."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ValueError(str(error) or "no HTTP") from None
        if len(self.body) > ANSWER_MOST:
            raise ValueError("an answer over the cap")


class CoordinationStore(Protocol):
    """Who makes the calls: `Engine`, or what stands in for it."""

    async def call(self, path: str, body: Body) -> Body | CallFailure: ...


class CoordinationClient:
    """One call at a time and caller; a call ends within its deadline, however the engine behaves."""

    def __init__(self, endpoints: Sequence[Address], deadline_s: float, first: int = 0) -> None:
        """`first`: where to begin, so that many instances do not all ask the same endpoint."""
        self._endpoints, self._deadline_s = tuple(endpoints), deadline_s
        self._at = first % len(self._endpoints)

    async def call(self, path: str, body: Body) -> Body | CallFailure:
        """The answer's object. An endpoint that is not reached is passed over within the same deadline."""
        fault = CallFailure("no endpoint", may_have_run=False)
        try:
            async with asyncio.timeout(self._deadline_s) as limit:
                for _ in self._endpoints:
                    answer = await self._ask(self._endpoints[self._at], path, orjson.dumps(body), limit)
                    if not isinstance(answer, CallFailure):
                        return answer
                    self._at = (self._at + 1) % len(self._endpoints)
                    fault = answer
                    if answer.may_have_run:
                        break  # it may have been carried out: asked anew elsewhere it could be so twice
        except TimeoutError:
            self._at = (self._at + 1) % len(self._endpoints)
            return CallFailure("no answer in time", may_have_run=True)
        return fault

    async def _ask(self, address: Address, path: str, body: bytes, limit: asyncio.Timeout) -> Body | CallFailure:
        loop, answer, sent, sock = asyncio.get_running_loop(), _Answer(), False, tcp.create_socket()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            # One that is cut off says nothing: it may not use up the time of all the others.
            async with asyncio.timeout(self._deadline_s / (len(self._endpoints) + 1)):
                await loop.sock_connect(sock, (address.host, address.port))
            sent = True
            await loop.sock_sendall(sock, head.encode() + body)
            while not answer.done and (data := await loop.sock_recv(sock, 65536)):
                answer.feed(data)
            if not answer.done:
                return CallFailure("the answer is cut off", may_have_run=True)
            found: Any = orjson.loads(answer.body)
            if answer.status != 200 or not isinstance(found, dict):
                why = found.get("message", "") if isinstance(found, dict) else ""
                return CallFailure(f"status {answer.status} {str(why)[:100]}", may_have_run=True)
            return found
        except TimeoutError:
            if limit.expired():
                raise
            return CallFailure("not reached in time", may_have_run=False)
        except (OSError, ValueError) as error:
            return CallFailure(repr(error)[:200], may_have_run=sent)
        finally:
            tcp.close(sock)


def make_client(told: MembershipConfig, first: int = 0) -> CoordinationClient:
    """Raises ConfigError."""
    return CoordinationClient(
        [parse_address(each, "membership.engine") for each in told.endpoints], told.call_timeout_ms / 1000, first
    )
