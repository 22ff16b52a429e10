"""Lines of the protocol, parsed and encoded without sockets; each side sends its own.

client            OPEN id key name=value,...
session server    UP ..., then lines of the session, LOAD number, MOVE, BYE; or BUSY, ERR
proxy             BUSY [milliseconds], ERR reason, MOVE, PONG
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PING = b"PING"
PONG = b"PONG"
STATS = b"STATS"
MOVE = b"MOVE"
OPEN = b"OPEN"
MAX_NUMBER = 2**53  # integers below it are exact as floats
FLAG_VALUES = ("0", "1")

_REQUEST_ID = re.compile(rb"[0-9a-fA-F]{16}\Z")
_IDEMPOTENCY_KEY = re.compile(rb"[0-9a-fA-F]{1,16}\Z")
_HEX = re.compile(r"[0-9a-fA-F]{1,16}\Z")
_DIGITS = re.compile(r"[0-9]{1,15}\Z")
_PLAIN_VALUE = rb"[!-+\--~]+"  # printable ASCII except space and comma


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A client's first line that is not a valid request, and why; the client is at fault."""

    reason: str
    class_name: str = ""  # the request's class, if the line could be parsed but was not accepted


@dataclass(slots=True)  # not frozen: that would triple the time to construct one, once per request
class SessionRequest:
    """A client's first line, which requests a session; the comments contain the fields' names on the wire."""

    line: bytes
    request_id: str
    idempotency_key: int
    class_name: str  # c
    timeout_ms: int  # d: how long the client waits for UP
    group: int | None  # g: the group of the request
    load_hint: float | None  # h: the work that the session may cause
    is_client_retry: bool  # r: the client has sent the request before
    is_returning: bool  # again: the client had a session before
    previous_server: str | None  # at: the session server on which the session was established before
    tenant: str = ""  # t; "" if the line has none
    timeout_span: tuple[int, int] = (0, 0)  # start and end of the value of `d` in the line

    def encode(self, timeout_ms: int) -> bytes:
        """Encode the request for a session server: the client's line with this timeout."""
        start, end = self.timeout_span
        return b"%s%d%s\r\n" % (self.line[:start], timeout_ms, self.line[end:])


class Keyword(Enum):
    """The first word of a session server's line."""

    UP = "UP"
    BYE = "BYE"
    MOVE = "MOVE"
    ERR = "ERR"
    BUSY = "BUSY"
    PONG = "PONG"
    LOAD = "LOAD"
    OTHER = ""  # a line of the session itself; before UP a protocol violation by the session server


_KEYWORDS = {keyword.value.encode(): keyword for keyword in Keyword if keyword is not Keyword.OTHER}


@dataclass(frozen=True, slots=True)
class Reply:
    """A line of a session server: its keyword, and what follows."""

    keyword: Keyword
    fields: str = ""

    @property
    def load_report(self) -> dict[str, float]:
        """The numbers in the fields, by name."""
        return parse_load_report(self.fields)


def field_pattern(names: Iterable[str] = ()) -> re.Pattern[bytes]:
    """Return the pattern that matches one field.

    Groups 1 and 2 are the name and the value of a field whose value is one of `names` and is not plain, groups 3 and 4
    those of any other field.

    Args:
        names: The classes and tenants in the settings. Only their names may contain spaces, commas or non-ASCII
            letters as a value; in any other value these make the line malformed.
    """
    special_names = {
        name.encode() for name in names if name.isprintable() and not re.fullmatch(_PLAIN_VALUE, name.encode())
    }
    longest_first = b"|".join(re.escape(name) for name in sorted(special_names, key=len, reverse=True))
    named_field = b"([ct])=(%s)" % longest_first if longest_first else b"()()(?!)"
    return re.compile(b"(?:%s|([A-Za-z_][A-Za-z0-9_.-]*)=(%s))(?:,(?!\\Z)|\\Z)" % (named_field, _PLAIN_VALUE))


PLAIN_FIELD = field_pattern()


def parse_session_request(line: bytes, field: re.Pattern[bytes] = PLAIN_FIELD) -> SessionRequest | MalformedRequest:
    """Parse `OPEN id key name=value,...`; fields of unknown name are ignored.

    Args:
        line: The line without its CRLF.
        field: The pattern of a field, from `field_pattern` with the settings' names.
    """
    words = line.split(b" ", 3)
    if words[0] != OPEN or len(words) != 4:
        return MalformedRequest("not an OPEN line")
    _, request_id, key, rest = words
    if not _REQUEST_ID.match(request_id) or not _IDEMPOTENCY_KEY.match(key):
        return MalformedRequest("id or key is not hex")
    matches = _match_fields(line, len(line) - len(rest), field)
    if matches is None:
        return MalformedRequest("a field is no name=value, or comes twice")
    fields = {name.decode(): (match[2] or match[4]).decode() for name, match in matches.items()}
    reason = _find_invalid_field(fields)
    if reason:
        return MalformedRequest(reason)
    return SessionRequest(
        line=line,
        request_id=request_id.decode("ascii"),
        idempotency_key=int(key, 16),
        class_name=fields["c"],
        timeout_ms=int(fields["d"]),
        group=int(fields["g"], 16) if "g" in fields else None,
        load_hint=float(fields["h"]) if "h" in fields else None,
        is_client_retry=fields.get("r") == "1",
        is_returning=fields.get("again") == "1",
        previous_server=fields.get("at"),
        tenant=fields.get("t", ""),
        timeout_span=matches[b"d"].span(4),
    )


def _match_fields(line: bytes, start: int, field: re.Pattern[bytes]) -> dict[bytes, re.Match[bytes]] | None:
    """Return the matches of the line's fields from `start` on, by name; None if a field is malformed or repeated."""
    matches: dict[bytes, re.Match[bytes]] = {}
    position = start
    while position < len(line) or position == start:
        match = field.match(line, position)
        if match is None:
            return None
        name = match[1] or match[3]
        if name in matches:
            return None
        matches[name] = match
        position = match.end()
    return matches


def _find_invalid_field(fields: dict[str, str]) -> str:
    """Return what is wrong with the fields; "" if they are valid."""
    if "c" not in fields or not _DIGITS.match(fields.get("d", "")):
        return "field c or d is missing or no number"
    if "g" in fields and not _HEX.match(fields["g"]):
        return "field g is not hex"
    if "h" in fields:
        load_hint = parse_number(fields["h"])
        if load_hint is None or load_hint < 0:
            return "field h is no number, or under 0"
    if fields.get("r", "0") not in FLAG_VALUES or fields.get("again", "0") not in FLAG_VALUES:
        return "field r or again is neither 0 nor 1"
    return ""


def parse_reply(line: bytes) -> Reply:
    """Parse a session server's line without its CRLF; one without a keyword is `Keyword.OTHER`."""
    return Reply(parse_keyword(line), line.partition(b" ")[2].decode("ascii", "replace"))


def parse_keyword(line: bytes) -> Keyword:
    """Return the keyword of a session server's line without its CRLF."""
    return _KEYWORDS.get(line.partition(b" ")[0], Keyword.OTHER)


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a report such as `inflight=7,util=0.61`; what is not a number is omitted."""
    report: dict[str, float] = {}
    for item in text.split(","):
        name, separator, number = item.strip().partition("=")
        value = parse_number(number) if separator else None
        if name and value is not None:
            report[name] = value
    return report


def parse_number(text: str) -> float | None:
    """Parse a number; return None if the text is not a number, or if that is not finite or too large to be exact."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and abs(value) < MAX_NUMBER else None


def encode_busy(retry_after_us: int) -> bytes:
    """Encode BUSY, with the delay before a retry rounded up to milliseconds; with 0 the line has no delay."""
    if retry_after_us <= 0:
        return b"BUSY\r\n"
    retry_after_ms = (retry_after_us + 999) // 1000
    return b"BUSY %d\r\n" % retry_after_ms


def encode_error(reason: str) -> bytes:
    """Encode ERR, the answer to a request that cannot be served."""
    return b"ERR " + reason.encode("ascii", "replace") + b"\r\n"
