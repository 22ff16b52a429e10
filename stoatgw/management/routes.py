"""Maps a request's method and path to an operation. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

from stoatgw.management.http import HttpRequest, HttpResponse


class Operation(Enum):
    """An operation that an operator may request from a proxy."""

    READY = "readyz"
    METRICS = "metrics"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"


SERVER_ID = ""  # placeholder segment in a route's path that matches any session server's id


@dataclass(frozen=True, slots=True)
class Route:
    """The method and path of an operation; `segments` is the path split at its slashes."""

    method: str
    segments: tuple[str, ...]
    operation: Operation

    def matches(self, segments: list[str]) -> bool:
        """Return whether a path matches this route, whatever the method."""
        if len(segments) != len(self.segments):
            return False
        return all(expected in (SERVER_ID, segment) for expected, segment in zip(self.segments, segments, strict=True))

    def server(self, segments: list[str]) -> str:
        """Return the session server's id in a matching path; empty if the route has none."""
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
    """An operation, and the id of the session server that it applies to, if any."""

    operation: Operation
    server: str = ""


def parse_operation(request: HttpRequest) -> OperationRequest | HttpResponse:
    """Return the requested operation, or an error response.

    The status is 400 for a path that is not UTF-8, 404 for an unknown path, and 405 for a wrong method.
    """
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
