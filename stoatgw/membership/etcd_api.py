"""Requests and responses of etcd v3's HTTP/JSON API (grpc-gateway), without input or output.

Keys and values are encoded in base64 and 64-bit numbers as strings; zero, false and empty fields are omitted.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

Body = dict[str, Any]

LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEP_ALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"
RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"


class ResponseError(ValueError):
    """A response is malformed; the message names the field."""


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease that the engine granted, and its time to live."""

    lease_id: int
    ttl_s: int


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A stored key with its value, the revisions of its creation and of its last change, and its lease (0: none)."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int


@dataclass(frozen=True, slots=True)
class RangeSnapshot:
    """The entries of a range at one revision of the store."""

    revision: int
    entries: tuple[KeyValue, ...] = ()

    def get(self, key: str) -> KeyValue | None:
        """Return the entry of a key, None if there is none."""
        return next((entry for entry in self.entries if entry.key == key), None)


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The result of a transaction: whether its comparisons held, and the entries that its reads returned."""

    succeeded: bool
    snapshot: RangeSnapshot


def lease_grant_request(ttl_s: int) -> Body:
    """Return the body of a call to LEASE_GRANT_PATH."""
    return {"TTL": str(ttl_s)}


def lease_request(lease_id: int) -> Body:
    """Return the body of a call to LEASE_KEEP_ALIVE_PATH or LEASE_REVOKE_PATH."""
    return {"ID": str(lease_id)}


def key_range(key: str) -> Body:
    """Return the body of a call to RANGE_PATH for one key."""
    return {"key": _encode_key(key)}


def prefix_range(prefix: str) -> Body:
    """Return the body of a call to RANGE_PATH for all keys with a prefix."""
    end = prefix[:-1].encode() + bytes([prefix.encode()[-1] + 1])
    return {"key": _encode_key(prefix), "range_end": _encode_base64(end)}


def compare_create_revision(key: str, revision: int) -> Body:
    """Return a comparison that holds if the key was created at a revision; with 0, if the key does not exist."""
    return {"key": _encode_key(key), "target": "CREATE", "result": "EQUAL", "create_revision": str(revision)}


def compare_mod_revision(key: str, revision: int) -> Body:
    """Return a comparison that holds if the key was last changed at a revision; with 0, if the key does not exist."""
    return {"key": _encode_key(key), "target": "MOD", "result": "EQUAL", "mod_revision": str(revision)}


def put_operation(key: str, value: bytes, lease_id: int = 0) -> Body:
    """Return a write within a transaction; a key with a lease is deleted when the lease ends."""
    put = {"key": _encode_key(key), "value": _encode_base64(value)}
    if lease_id:
        put["lease"] = str(lease_id)
    return {"request_put": put}


def range_operation(keys: Body) -> Body:
    """Return a read within a transaction, of a `key_range` or a `prefix_range`."""
    return {"request_range": keys}


def transaction(compare: Iterable[Body], success: Iterable[Body], failure: Iterable[Body] = ()) -> Body:
    """Return the body of a call to TRANSACTION_PATH: `success` runs if all comparisons hold, else `failure`."""
    return {"compare": list(compare), "success": list(success), "failure": list(failure)}


def parse_lease_grant(data: Body) -> LeaseGrant:
    """Parse the response to a lease grant.

    Raises:
        ResponseError: It is malformed.
    """
    lease_id = _parse_number(data, "ID")
    ttl_s = _parse_number(data, "TTL")
    if not lease_id or not ttl_s:
        raise ResponseError("ID or TTL: missing")
    return LeaseGrant(lease_id, ttl_s)


def parse_keep_alive(data: Body) -> int:
    """Parse the response to a keep-alive: the lease's remaining time to live in seconds, 0 if it has expired.

    Raises:
        ResponseError: It is malformed.
    """
    return _parse_number(_require_object(data.get("result", {}), "result"), "TTL")


def parse_range(data: Body) -> RangeSnapshot:
    """Parse the response to a range read.

    Raises:
        ResponseError: It is malformed.
    """
    return RangeSnapshot(_parse_revision(data), _parse_entries(data))


def parse_transaction(data: Body) -> TransactionResult:
    """Parse the response to a transaction.

    Raises:
        ResponseError: It is malformed.
    """
    succeeded = data.get("succeeded", False)
    responses = data.get("responses", [])
    if not isinstance(succeeded, bool) or not isinstance(responses, list):
        raise ResponseError("succeeded or responses: of a wrong type")
    entries: tuple[KeyValue, ...] = ()
    for item in responses:
        found = _require_object(item, "responses").get("response_range")
        if found is not None:
            entries += _parse_entries(_require_object(found, "response_range"))
    return TransactionResult(succeeded, RangeSnapshot(_parse_revision(data), entries))


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _encode_key(key: str) -> str:
    return _encode_base64(key.encode())


def _decode_base64(text: Any, field: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise ResponseError(f"{field}: no base64") from None


def _parse_number(data: Mapping[str, Any], field: str) -> int:
    value = data.get(field, 0)
    try:
        number = int(value)
    except (TypeError, ValueError):
        raise ResponseError(f"{field}: no number") from None
    if not 0 <= number < 2**63:
        raise ResponseError(f"{field}: out of range")
    return number


def _require_object(data: Any, field: str) -> Body:
    if not isinstance(data, dict):
        raise ResponseError(f"{field}: no object")
    return data


def _parse_entries(data: Mapping[str, Any]) -> tuple[KeyValue, ...]:
    items = data.get("kvs", [])
    if not isinstance(items, list):
        raise ResponseError("kvs: no list")
    return tuple(_parse_entry(_require_object(item, "kvs")) for item in items)


def _parse_entry(data: Body) -> KeyValue:
    try:
        key = _decode_base64(data.get("key", ""), "key").decode()
    except UnicodeDecodeError:
        raise ResponseError("key: not UTF-8") from None
    return KeyValue(
        key,
        value=_decode_base64(data.get("value", ""), "value"),
        create_revision=_parse_number(data, "create_revision"),
        mod_revision=_parse_number(data, "mod_revision"),
        lease_id=_parse_number(data, "lease"),
    )


def _parse_revision(data: Mapping[str, Any]) -> int:
    return _parse_number(_require_object(data.get("header", {}), "header"), "revision")
