"""The engine's words: etcd v3's published HTTP/JSON interface, its bodies and answers. No sockets.

Keys and values travel as base64, 64-bit numbers as strings, and what is zero, false or empty is left out.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

Body = dict[str, Any]

GRANT, KEEP_ALIVE, REVOKE = "/v3/lease/grant", "/v3/lease/keepalive", "/v3/lease/revoke"
RANGE, TXN = "/v3/kv/range", "/v3/kv/txn"


class ResponseError(ValueError):
    """An answer cannot be read; the message names the field."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key as the engine holds it. `create`, `change`: revisions of its making and its last change."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int


@dataclass(frozen=True, slots=True)
class RangeSnapshot:
    """Keys at one revision of the whole store."""

    revision: int
    entries: tuple[KeyValue, ...] = ()

    def get(self, key: str) -> KeyValue | None:
        return next((pair for pair in self.entries if pair.key == key), None)


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """A transaction's end: whether its comparisons held, and what its reads found."""

    succeeded: bool
    snapshot: RangeSnapshot


def pack(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _unpack(text: Any, field: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise ResponseError(f"{field}: no base64") from None


def _number(data: Mapping[str, Any], field: str) -> int:
    value = data.get(field, 0)
    try:
        number = int(value)
    except (TypeError, ValueError):
        raise ResponseError(f"{field}: no number") from None
    if not 0 <= number < 2**63:
        raise ResponseError(f"{field}: out of range")
    return number


def grant(ttl_s: int) -> Body:
    return {"TTL": str(ttl_s)}


def of_lease(lease: int) -> Body:
    """The body of KEEP_ALIVE and of REVOKE."""
    return {"ID": str(lease)}


def under(prefix: str) -> Body:
    """The body of RANGE: all keys that begin so."""
    end = prefix[:-1].encode() + bytes([prefix.encode()[-1] + 1])
    return {"key": pack(prefix.encode()), "range_end": pack(end)}


def made_at(key: str, revision: int) -> Body:
    """A comparison: the key was made at that revision; 0: there is none."""
    return {"key": pack(key.encode()), "target": "CREATE", "result": "EQUAL", "create_revision": str(revision)}


def changed_at(key: str, revision: int) -> Body:
    """A comparison: the key was changed last at that revision; 0: there is none."""
    return {"key": pack(key.encode()), "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}


def put(key: str, value: bytes, lease: int = 0) -> Body:
    return {"request_put": {"key": pack(key.encode()), "value": pack(value)} | ({"lease": str(lease)} if lease else {})}


def read(key: str) -> Body:
    return {"request_range": {"key": pack(key.encode())}}


def txn(compare: list[Body], success: list[Body], failure: list[Body] | None = None) -> Body:
    return {"compare": compare, "success": success, "failure": failure or []}


def _object(data: Any, field: str) -> Body:
    if not isinstance(data, dict):
        raise ResponseError(f"{field}: no object")
    return data


def _pairs(data: Mapping[str, Any]) -> tuple[KeyValue, ...]:
    found = data.get("kvs", [])
    if not isinstance(found, list):
        raise ResponseError("kvs: no list")
    pairs = []
    for item in found:
        each = _object(item, "kvs")
        try:
            key = _unpack(each.get("key", ""), "key").decode()
        except UnicodeDecodeError:
            raise ResponseError("key: not UTF-8") from None
        value = _unpack(each.get("value", ""), "value")
        create, change = _number(each, "create_revision"), _number(each, "mod_revision")
        pairs.append(KeyValue(key, value, create, change, _number(each, "lease")))
    return tuple(pairs)


def _revision(data: Mapping[str, Any]) -> int:
    return _number(_object(data.get("header", {}), "header"), "revision")


def read_grant(data: Body) -> tuple[int, int]:
    """The lease, and its term in seconds. Raises AnswerError."""
    lease, ttl_s = _number(data, "ID"), _number(data, "TTL")
    if not lease or not ttl_s:
        raise ResponseError("ID or TTL: missing")
    return lease, ttl_s


def read_keep_alive(data: Body) -> int:
    """The lease's term in seconds from now, 0 if it is gone. Raises AnswerError."""
    return _number(_object(data.get("result", {}), "result"), "TTL")


def read_range(data: Body) -> RangeSnapshot:
    """Raises AnswerError."""
    return RangeSnapshot(_revision(data), _pairs(data))


def read_txn(data: Body) -> TransactionResult:
    """Raises AnswerError."""
    done, answers = data.get("succeeded", False), data.get("responses", [])
    if not isinstance(done, bool) or not isinstance(answers, list):
        raise ResponseError("succeeded or responses: of a wrong type")
    pairs: tuple[KeyValue, ...] = ()
    for item in answers:
        found = _object(item, "responses").get("response_range")
        if found is not None:
            pairs += _pairs(_object(found, "response_range"))
    return TransactionResult(done, RangeSnapshot(_revision(data), pairs))
