"""The words of the line protocol: OPEN from clients, replies from session servers. No sockets."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

PING, PONG, STATS, MOVE = b"PING", b"PONG", b"STATS", b"MOVE"
NUMBER_MAX = 2**53

_ID = re.compile(rb"[0-9a-fA-F]{16}\Z")
_HEX = re.compile(rb"[0-9a-fA-F]{1,16}\Z")
_WORD = rb"[!-+\--~]+"  # a value as it is in most lines: no blank, no comma
_DIGITS = re.compile(rb"[0-9]{1,15}\Z")


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A line that cannot be read, and why."""

    reason: str
    class_name: str = ""  # its class, where the line was a request but for this


@dataclass(slots=True)  # one is made for each request, and a frozen one takes three times as long
class SessionRequest:
    """A client's first line."""

    line: bytes
    request_id: str
    idempotency_key: int
    class_name: str
    timeout_ms: int
    group: int | None
    load_hint: float | None
    is_client_retry: bool
    is_returning: bool
    restore_at: str | None
    tenant: str = ""  # "": the line names none
    timeout_span: tuple[int, int] = (0, 0)  # where in the line the value of `d` is

    def encode(self, timeout_ms: int) -> bytes:
        """The line for a session server: the client's own, but for `d`."""
        begin, end = self.timeout_span
        return b"%s%d%s\r\n" % (self.line[:begin], timeout_ms, self.line[end:])


def field_pattern(names: Iterable[str] = ()) -> re.Pattern[bytes]:
    """How a field reads where the settings have these names of classes and tenants.

    Only those may hold blanks, commas or letters beyond ASCII: in any other value these are a bad client's.
    """
    odd = {name.encode() for name in names if name.isprintable() and not re.fullmatch(_WORD, name.encode())}
    known = b"|".join(re.escape(name) for name in sorted(odd, key=len, reverse=True))
    named = b"([ct])=(%s)|" % known if known else b"()()(?!)|"
    return re.compile(b"(?:%s([A-Za-z_][A-Za-z0-9_.-]*)=(%s))(?:,(?!\\Z)|\\Z)" % (named, _WORD))


PLAIN = field_pattern()


def parse_session_request(line: bytes, field: re.Pattern[bytes] = PLAIN) -> SessionRequest | MalformedRequest:
    """Read `OPEN id key name=value,...`; unknown names are passed over."""
    words = line.split(b" ", 3)
    if words[0] != b"OPEN" or len(words) != 4:
        return MalformedRequest("not an OPEN line")
    _, request, key, rest = words
    if not _ID.match(request) or not _HEX.match(key):
        return MalformedRequest("id or key is not hex")
    fields: dict[bytes, bytes] = {}
    at, timeout_span = len(line) - len(rest), (0, 0)
    while at < len(line) or not rest:
        found = field.match(line, at)
        name = found and (found[1] or found[3])
        if not found or not name or name in fields:
            return MalformedRequest("a field is no name=value, or comes twice")
        fields[name] = found[2] or found[4]
        if name == b"d":
            timeout_span = found.span(4)
        at = found.end()
    text = {name.decode(): value.decode() for name, value in fields.items()}
    if "c" not in text or not _DIGITS.match(fields.get(b"d", b"")):
        return MalformedRequest("field c or d is missing or no number")
    if b"g" in fields and not _HEX.match(fields[b"g"]):
        return MalformedRequest("field g is not hex")
    hint = parse_number(text["h"]) if "h" in text else None
    if "h" in text and (hint is None or hint < 0):
        return MalformedRequest("field h is no number, or under 0")
    if any(text.get(flag, "0") not in ("0", "1") for flag in ("r", "again")):
        return MalformedRequest("field r or again is neither 0 nor 1")
    return SessionRequest(
        line=line,
        request_id=request.decode("ascii"),
        idempotency_key=int(key, 16),
        class_name=text["c"],
        timeout_ms=int(text["d"]),
        group=int(text["g"], 16) if "g" in text else None,
        load_hint=hint,
        is_client_retry=text.get("r") == "1",
        is_returning=text.get("again") == "1",
        restore_at=text.get("at"),
        tenant=text.get("t", ""),
        timeout_span=timeout_span,
    )


def parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and abs(value) < NUMBER_MAX else None


class Keyword(Enum):
    """What a line of a session server says."""

    UP = "UP"
    BYE = "BYE"
    MOVE = "MOVE"
    ERR = "ERR"
    BUSY = "BUSY"
    PONG = "PONG"
    LOAD = "LOAD"
    OTHER = ""


WORDS = {word.value.encode(): word for word in Keyword if word.value}


@dataclass(frozen=True, slots=True)
class Reply:
    """A line of a session server: its first word, and what follows."""

    keyword: Keyword
    fields: str = ""

    @property
    def load_report(self) -> dict[str, float]:
        return parse_load_report(self.fields)


def parse_reply(line: bytes) -> Reply:
    word, _, rest = line.partition(b" ")
    return Reply(WORDS.get(word, Keyword.OTHER), rest.decode("ascii", "replace"))


def parse_load_report(text: str) -> dict[str, float]:
    """`inflight=7,util=0.61`; what is no number is left out."""
    report: dict[str, float] = {}
    for part in text.split(","):
        name, found, number = part.strip().partition("=")
        value = parse_number(number) if found else None
        if name and value is not None:
            report[name] = value
    return report


def encode_busy(retry_after_us: int) -> bytes:
    """The refusal, with its advice in whole milliseconds."""
    return b"BUSY %d\r\n" % -(-retry_after_us // 1000) if retry_after_us > 0 else b"BUSY\r\n"


def encode_error(why: str) -> bytes:
    return b"ERR " + why.encode("ascii", "replace") + b"\r\n"
