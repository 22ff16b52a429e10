"""The sockets of the management address. Its connections use reserved descriptors: see `MAX_CONNECTIONS`."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from stoatgw.config.deployment import Address
from stoatgw.management.http import HttpRequest, HttpRequestParser, HttpResponse
from stoatgw.management.routes import OperationRequest, parse_operation
from stoatgw.sockets import tcp
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

MAX_CONNECTIONS = 32  # their descriptors are reserved, so that neither clients nor operators can lock the other out
REQUEST_TIMEOUT_S = 2.0  # from accepting a connection to receiving its complete request
LINGER_TIMEOUT_S = 0.25
RECEIVE_BUFFER_BYTES = 4096


class ManagementApi(Protocol):
    """Carries out operations, without waiting for anything that a high load could delay."""

    def execute(self, request: OperationRequest) -> HttpResponse:
        """Carry out an operation; the response reports whether it took effect."""
        ...


class ManagementListener:
    """Accepts the operators' connections and answers one request on each."""

    def __init__(self, api: ManagementApi, log: EventLog, counters: Counters) -> None:
        """Prepare the listener; `bind` opens its socket, and `run` accepts connections."""
        self._api = api
        self._log = log
        self._counters = counters
        self._listener: socket.socket | None = None
        self._connections: dict[asyncio.Task[None], socket.socket] = {}  # oldest first

    def bind(self, address: Address) -> None:
        """Listen on the address.

        Raises:
            OSError: The address cannot be bound.
        """
        self._listener = tcp.create_listener((address.host, address.port), MAX_CONNECTIONS)

    @property
    def bound_port(self) -> int:
        """The port that the listener is bound to, also if the system chose it; 0 before `bind`."""
        if self._listener is None:
            return 0
        port: int = self._listener.getsockname()[1]
        return port

    async def run(self) -> None:
        """Accept connections until cancelled; each is served by a task of its own."""
        if self._listener is None:
            return
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection = await tcp.accept(self._listener)
            except OSError as error:
                self._log.event("management_accept_failed", error=str(error))
                await asyncio.sleep(tcp.ACCEPT_RETRY_INTERVAL_S)
                continue
            if len(self._connections) >= MAX_CONNECTIONS:
                self._close_oldest()
            task = loop.create_task(self._serve(connection))
            self._connections[task] = connection
            task.add_done_callback(self._remove_connection)

    def _close_oldest(self) -> None:
        """Make room when connections that send no complete request take up all of `MAX_CONNECTIONS`."""
        task, connection = next(iter(self._connections.items()))
        del self._connections[task]
        tcp.shut_down(connection)  # its task closes it

    def _remove_connection(self, task: asyncio.Task[None]) -> None:
        self._connections.pop(task, None)

    async def _serve(self, connection: socket.socket) -> None:
        try:
            response = await self._respond(connection)
            if response is not None:
                await tcp.close_gracefully(connection, response.to_bytes(), LINGER_TIMEOUT_S)
        except OSError:
            pass  # the operator has closed the connection
        except Exception as error:  # an error in one request must not stop the listener
            self._log.event("management_call_failed", error=repr(error))
        finally:
            tcp.close(connection)

    async def _respond(self, connection: socket.socket) -> HttpResponse | None:
        """Return the response to the connection's request; None if the operator closed the connection before."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                received = await _receive_request(connection)
        except TimeoutError:
            self._counters.add("management_calls_timed_out")
            return HttpResponse(408, "no: no whole call in time\n")
        if received is None or isinstance(received, HttpResponse):
            return received
        operation = parse_operation(received)
        if isinstance(operation, HttpResponse):
            return operation
        return self._execute(operation)

    def _execute(self, request: OperationRequest) -> HttpResponse:
        try:
            response = self._api.execute(request)
        except Exception as error:  # an operation that was not carried out must not be answered with "yes"
            self._log.event("management_call_failed", operation=request.operation.value, error=repr(error))
            return HttpResponse(500, "no: a fault, see the log\n")
        self._counters.add("management_calls")
        return response


async def _receive_request(connection: socket.socket) -> HttpRequest | HttpResponse | None:
    """Receive a connection's request.

    Returns:
        The request, an error response to data that is not a request, or None if the connection was closed before.
    """
    parser = HttpRequestParser()
    while True:
        data = await tcp.receive(connection, RECEIVE_BUFFER_BYTES)
        if not data:
            return None
        received = parser.feed(data)
        if received is not None:
            return received
