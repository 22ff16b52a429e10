"""The life cycle of one client connection, from accept to close. Exceptions are handled here."""

from __future__ import annotations

import socket

from stoatgw.clients.context import ProxyContext
from stoatgw.clients.request_handler import SessionRequestHandler
from stoatgw.clients.request_reader import RequestReader
from stoatgw.clients.session_closer import ANSWERED_LINGER_S, SessionCloser, reject_connection
from stoatgw.line_protocol.grammar import MalformedRequest, SessionRequest, encode_busy, encode_error
from stoatgw.sockets import tcp
from stoatgw.telemetry.metrics import RequestOutcome


class ClientSession:
    """One accepted connection: reads its request, reserves descriptors, serves it, and closes both sides.

    Owns the connection's socket, its entry in the descriptor limiter and its request id; `run` releases all of them.
    """

    __slots__ = (
        "_closed_reason",
        "_closer",
        "_context",
        "_handler",
        "_holds_descriptors",
        "_reader",
        "_request",
        "_sock",
    )

    def __init__(self, sock: socket.socket, context: ProxyContext) -> None:
        self._sock = sock
        self._context = context
        self._reader: RequestReader | None = RequestReader(sock, context)  # None once the request is read
        context.descriptor_limiter.add_idle(self._reader)
        self._request: SessionRequest | None = None  # set once the request is accepted
        self._closed_reason = ""  # for the log, if the connection is closed without a request
        self._holds_descriptors = False
        self._closer: SessionCloser | None = None  # set once the descriptors are reserved
        self._handler: SessionRequestHandler | None = None

    async def run(self) -> None:
        """Serve the connection; never raises, unless cancelled."""
        try:
            await self._read_and_serve()
        except OSError as error:
            self._context.counters.add("sessions_broken")
            self._context.rate_limited_log.event("connection_broken", id=self._request_id, why=str(error))
        except Exception as error:
            self._context.counters.add("sessions_crashed")
            if self._handler is not None:
                self._handler.record_outcome(RequestOutcome.ERROR)
            self._context.log.event("session_crashed", id=self._request_id, error=repr(error))
        finally:
            self._release()

    @property
    def _request_id(self) -> str | None:
        return self._request.request_id if self._request is not None else None

    async def _read_and_serve(self) -> None:
        request = await self._read_request()
        if request is None:
            if self._closed_reason:
                self._context.rate_limited_log.event("connection_closed", why=self._closed_reason)
            # BUSY also answers a request that is already in flight, which the client may then retry.
            await reject_connection(self._context, self._sock, encode_busy(0))
        elif isinstance(request, MalformedRequest):
            self._context.counters.add("requests_malformed")
            self._context.metrics.record_outcome(request.class_name, RequestOutcome.ERROR)
            self._context.rate_limited_log.event("request_malformed", why=request.reason)
            await reject_connection(self._context, self._sock, encode_error(request.reason))
        else:
            self._request = request
            await self._serve(request)

    async def _read_request(self) -> SessionRequest | MalformedRequest | None:
        if self._reader is None:
            return None
        request = await self._reader.read_request()
        if self._reader.is_expired:
            self._closed_reason = "the client sent no request in time"
        elif self._reader.holds_partial_request:
            self._closed_reason = "the client disconnected in the middle of its request"
        self._drop_reader()
        return request

    def _drop_reader(self) -> None:
        """Remove the reader from the idle connections and free its memory, as sessions are many and long."""
        if self._reader is not None:
            self._context.descriptor_limiter.remove_idle(self._reader)
            self._reader = None

    async def _serve(self, request: SessionRequest) -> None:
        self._holds_descriptors = self._context.descriptor_limiter.acquire_request()
        if not self._holds_descriptors:
            self._context.counters.add("requests_over_descriptor_limit")
            self._context.metrics.record_outcome(request.class_name, RequestOutcome.OVERLOAD)
            self._context.log.event("request_rejected", id=request.request_id, why="too few descriptors are left")
            await tcp.close_gracefully(self._sock, encode_busy(0), ANSWERED_LINGER_S)
            return
        self._closer = SessionCloser(self._sock)
        self._handler = SessionRequestHandler(self._sock, self._context, request, self._closer)
        end = await self._handler.serve()
        self._context.counters.add(f"sessions_{end.reason.value}")
        self._handler.log_end(end)
        await self._closer.close_both(end)

    def _release(self) -> None:
        tcp.close(self._sock)
        if self._closer is not None:
            self._closer.abort_attempt()
        self._drop_reader()
        if self._holds_descriptors:
            self._context.descriptor_limiter.release_request()
        if self._request is not None:
            self._context.request_ids.mark_ended(self._request.request_id)
