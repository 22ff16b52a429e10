"""Which operation a method and a path ask for. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

from stoatgw.management.http import HttpRequest, HttpResponse


class Operation(Enum):
    """What an operator may ask of a proxy."""

    READY = "readyz"
    METRICS = "metrics"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"


SERVER_ID = ""  # the segment of a route's path that stands for any session server's id


@dataclass(frozen=True, slots=True)
class Route:
    """An operation's method and path; `segments` are the path's, without the slashes."""

    method: str
    segments: tuple[str, ...]
    operation: Operation

    def matches(self, segments: list[str]) -> bool:
        """Whether a path is this route's, whatever its method."""
        if len(segments) != len(self.segments):
            return False
        return all(expected in (SERVER_ID, segment) for expected, segment in zip(self.segments, segments, strict=True))

    def server(self, segments: list[str]) -> str:
        """The session server's id in a matching path; empty where the route has none."""
        if SERVER_ID not in self.segments:
            return ""
        return segments[self.segments.index(SERVER_ID)]


ROUTES = (
    Route("GET", ("v1", "readyz"), Operation.READY),
    Route("GET", ("v1", "metrics"), Operation.METRICS),
    Route("POST", ("v1", "session-servers", SERVER_ID, "suspend"), Operation.SUSPEND),
    Route("POST", ("v1", "session-servers", SERVER_ID, "resume"), Operation.RESUME),
    Route("POST", ("v1", "proxy", "drain"), Operation.DRAIN),
    Route("POST", ("v1", "proxy", "activate"), Operation.ACTIVATE),
)


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """An operation, and the id of the session server it is about, if any."""

    operation: Operation
    server: str = ""


def parse_operation(request: HttpRequest) -> OperationRequest | HttpResponse:
    """The operation asked for, or the response to a request for none: 404 by its path, 405 by its method."""
    try:
        segments = [unquote_to_bytes(segment).decode() for segment in request.path.split("/")[1:]]
    except UnicodeDecodeError:
        return HttpResponse(400, "no: the path is not UTF-8\n")
    for route in ROUTES:
        if route.matches(segments):
            if request.method != route.method:
                return HttpResponse(405, f"no: {request.path} is called with {route.method}\n", allow=route.method)
            return OperationRequest(route.operation, route.server(segments))
    return HttpResponse(404, "no: there is no such call\n")
