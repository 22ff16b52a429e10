"""The second address on its sockets. Its callers have descriptors of their own: see `CALLERS_MOST`."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol

from stoatgw.config.deployment import Address
from stoatgw.management.http import HttpRequestParser, HttpResponse
from stoatgw.management.routes import OperationRequest, parse_operation
from stoatgw.sockets import tcp
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

CALLERS_MOST = 32  # held at once; kept free of clients, so that neither can shut the other out
PATIENCE_S = 2.0  # from accepting to a whole call
LINGER_S = 0.25
BUFFER = 4096


class ManagementApi(Protocol):
    """Carries calls out; no waiting on anything that a load could hold up."""

    def execute(self, order: OperationRequest) -> HttpResponse: ...


class ManagementListener:
    def __init__(self, desk: ManagementApi, log: EventLog, counters: Counters) -> None:
        self._desk, self._log, self._counters = desk, log, counters
        self._sock: socket.socket | None = None
        self._callers: dict[asyncio.Task[None], socket.socket] = {}  # oldest first

    def bind(self, address: Address) -> None:
        """Raises OSError."""
        self._sock = tcp.create_listener((address.host, address.port), CALLERS_MOST)

    async def run(self) -> None:
        if self._sock is None:
            return
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock = await tcp.accept(self._sock)
            except OSError as fault:
                self._log.event("management_accept_failed", error=str(fault))
                await asyncio.sleep(tcp.ACCEPT_RETRY_INTERVAL_S)
                continue
            if len(self._callers) >= CALLERS_MOST:
                # Guards against callers that send nothing, or half a call, and stay: the oldest makes room.
                oldest, held = next(iter(self._callers.items()))
                del self._callers[oldest]
                with contextlib.suppress(OSError):
                    held.shutdown(socket.SHUT_RDWR)  # wakes its task, which closes it
            task = loop.create_task(self._serve(sock))
            self._callers[task] = sock
            task.add_done_callback(lambda done: self._callers.pop(done, None))

    async def _serve(self, sock: socket.socket) -> None:
        try:
            answer = await self._answer(sock)
            if answer is not None:
                await tcp.close_gracefully(sock, answer.to_bytes(), LINGER_S)
        except OSError:
            pass  # the caller has gone
        except Exception as fault:  # a fault of one call must not end the address
            self._log.event("management_call_failed", error=repr(fault))
        finally:
            tcp.close(sock)

    async def _answer(self, sock: socket.socket) -> HttpResponse | None:
        loop, reader = asyncio.get_running_loop(), HttpRequestParser()
        try:
            async with asyncio.timeout(PATIENCE_S):
                while True:
                    data = await loop.sock_recv(sock, BUFFER)
                    if not data:
                        return None
                    call = reader.feed(data)
                    if call is not None:
                        break
        except TimeoutError:
            self._counters.add("management_calls_timed_out")
            return HttpResponse(408, "no: no whole call in time\n")
        order = call if isinstance(call, HttpResponse) else parse_operation(call)
        if isinstance(order, HttpResponse):
            return order
        try:
            answer = self._desk.execute(order)
        except Exception as fault:  # never a yes before it binds
            self._log.event("management_call_failed", deed=order.operation.value, error=repr(fault))
            return HttpResponse(500, "no: a fault, see the log\n")
        self._counters.add("management_calls")
        return answer
