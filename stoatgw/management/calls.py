"""Which call a method and a path are. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

from stoatgw.management.http import Answer, Call


class Deed(Enum):
    READY = "readyz"
    METRICS = "metrics"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"


ANY = ""  # a place in a path that holds an id
TABLE = (
    ("GET", ("v1", "readyz"), Deed.READY),
    ("GET", ("v1", "metrics"), Deed.METRICS),
    ("POST", ("v1", "session-servers", ANY, "suspend"), Deed.SUSPEND),
    ("POST", ("v1", "session-servers", ANY, "resume"), Deed.RESUME),
    ("POST", ("v1", "proxy", "drain"), Deed.DRAIN),
    ("POST", ("v1", "proxy", "activate"), Deed.ACTIVATE),
)


@dataclass(frozen=True, slots=True)
class Order:
    deed: Deed
    server: str = ""


def read_call(call: Call) -> Order | Answer:
    """What is asked for, or the answer to a call that is none: 404 by its path, 405 by its method."""
    try:
        parts = [unquote_to_bytes(part).decode() for part in call.path.split("/")[1:]]
    except UnicodeDecodeError:
        return Answer(400, "no: the path is not UTF-8\n")
    for method, path, deed in TABLE:
        if len(parts) == len(path) and all(want in (ANY, part) for want, part in zip(path, parts)):
            if call.method != method:
                return Answer(405, f"no: {call.path} is called with {method}\n", allow=method)
            return Order(deed, next((part for want, part in zip(path, parts) if want == ANY), ""))
    return Answer(404, "no: there is no such call\n")
