"""Which call a method and a path are. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

from stoatgw.management.http import HttpRequest, HttpResponse


class Operation(Enum):
    READY = "readyz"
    METRICS = "metrics"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"


ANY = ""  # a place in a path that holds an id
TABLE = (
    ("GET", ("v1", "readyz"), Operation.READY),
    ("GET", ("v1", "metrics"), Operation.METRICS),
    ("POST", ("v1", "session-servers", ANY, "suspend"), Operation.SUSPEND),
    ("POST", ("v1", "session-servers", ANY, "resume"), Operation.RESUME),
    ("POST", ("v1", "proxy", "drain"), Operation.DRAIN),
    ("POST", ("v1", "proxy", "activate"), Operation.ACTIVATE),
)


@dataclass(frozen=True, slots=True)
class OperationRequest:
    operation: Operation
    server: str = ""


def parse_operation(call: HttpRequest) -> OperationRequest | HttpResponse:
    """What is asked for, or the answer to a call that is none: 404 by its path, 405 by its method."""
    try:
        parts = [unquote_to_bytes(part).decode() for part in call.path.split("/")[1:]]
    except UnicodeDecodeError:
        return HttpResponse(400, "no: the path is not UTF-8\n")
    for method, path, deed in TABLE:
        if len(parts) == len(path) and all(want in (ANY, part) for want, part in zip(path, parts)):
            if call.method != method:
                return HttpResponse(405, f"no: {call.path} is called with {method}\n", allow=method)
            return OperationRequest(deed, next((part for want, part in zip(path, parts) if want == ANY), ""))
    return HttpResponse(404, "no: there is no such call\n")
