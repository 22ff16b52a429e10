"""HTTP client of the coordination engine: one connection for each call, one deadline, failover between endpoints."""

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

MAX_RESPONSE_BYTES = 1 << 20  # the rollout state of thousands of machines is much smaller
RECEIVE_BYTES = 65536
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a usable response.

    Attributes:
        reason: Why there is none.
        may_have_run: Whether the engine may have carried the call out nevertheless.
    """

    reason: str
    may_have_run: bool


class CoordinationStore(Protocol):
    """Sends calls to the coordination engine: `CoordinationClient`, or a substitute in virtual time."""

    async def call(self, path: str, body: Body) -> Body | CallFailure:
        """Return the response's JSON object, or why there is none."""
        ...


class CoordinationClient:
    """Calls one engine over HTTP; each call ends within its timeout, whatever the engine does."""

    def __init__(self, endpoints: Sequence[Address], call_timeout_s: float, first_endpoint: int = 0) -> None:
        """Start with the endpoint at index `first_endpoint`, so that the proxies spread over the endpoints."""
        self._endpoints = tuple(endpoints)
        self._call_timeout_s = call_timeout_s
        self._current = first_endpoint % len(self._endpoints)

    async def call(self, path: str, body: Body) -> Body | CallFailure:
        """Call the endpoints in turn until one is reached, within one timeout."""
        failure = CallFailure("no endpoint", may_have_run=False)
        try:
            async with asyncio.timeout(self._call_timeout_s) as deadline:
                for _ in self._endpoints:
                    result = await self._call_endpoint(
                        self._endpoints[self._current], path, orjson.dumps(body), deadline
                    )
                    if not isinstance(result, CallFailure):
                        return result
                    self._select_next_endpoint()
                    failure = result
                    if result.may_have_run:
                        break  # a retry elsewhere could carry it out twice
        except TimeoutError:
            self._select_next_endpoint()
            return CallFailure("no answer in time", may_have_run=True)
        return failure

    def _select_next_endpoint(self) -> None:
        self._current = (self._current + 1) % len(self._endpoints)

    async def _call_endpoint(
        self, address: Address, path: str, body: bytes, deadline: asyncio.Timeout
    ) -> Body | CallFailure:
        sock = tcp.create_socket()
        is_sent = False
        try:
            # An endpoint whose link is broken never responds: its connect must leave time for the other endpoints.
            async with asyncio.timeout(self._call_timeout_s / (len(self._endpoints) + 1)):
                await tcp.connect(sock, (address.host, address.port))
            is_sent = True
            await tcp.send_all(sock, _format_head(address, path, len(body)) + body)
            response = _ResponseReader()
            while not response.is_complete and (data := await tcp.receive(sock, RECEIVE_BYTES)):
                response.feed(data)
            return _parse_response(response)
        except TimeoutError:
            if deadline.expired():
                raise
            return CallFailure("not reached in time", may_have_run=False)
        except (OSError, ValueError) as error:
            return CallFailure(repr(error)[:200], may_have_run=is_sent)
        finally:
            tcp.close(sock)


class _ResponseReader:
    """Parses an HTTP response up to a size limit."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.is_complete = False
        self.status = 0

    def on_headers_complete(self) -> None:
        """Handle the parser's callback."""
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Handle the parser's callback."""
        self.body += data

    def on_message_complete(self) -> None:
        """Handle the parser's callback."""
        self.is_complete = True

    def feed(self, data: bytes) -> None:
        """Parse more of the response.

        Raises:
            ValueError: The response is not HTTP, or too large.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise ValueError(str(error) or "no HTTP") from None
        if len(self.body) > MAX_RESPONSE_BYTES:
            raise ValueError("an answer over the cap")


def _format_head(address: Address, path: str, length: int) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {length}\r\nConnection: close\r\n\r\n"
    ).encode()


def _parse_response(response: _ResponseReader) -> Body | CallFailure:
    """Return the response's JSON object, or the engine's error.

    Raises:
        ValueError: The body is not JSON.
    """
    if not response.is_complete:
        return CallFailure("the answer is cut off", may_have_run=True)
    content: Any = orjson.loads(response.body)
    if response.status == HTTP_OK and isinstance(content, dict):
        return content
    message = content.get("message", "") if isinstance(content, dict) else ""
    return CallFailure(f"status {response.status} {str(message)[:100]}", may_have_run=True)


def make_client(config: MembershipConfig, first_endpoint: int = 0) -> CoordinationClient:
    """Make a client from the operators' settings.

    Raises:
        ConfigError: An endpoint is not `host:port`.
    """
    endpoints = [parse_address(endpoint, "membership.engine") for endpoint in config.endpoints]
    return CoordinationClient(endpoints, config.call_timeout_ms / 1000, first_endpoint)
