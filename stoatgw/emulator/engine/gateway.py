"""Maps request bodies to responses in etcd's JSON encoding: base64, 64-bit numbers as strings, empty fields omitted."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any

from stoatgw.emulator.engine.store import CompareTarget, Entry, Store

Body = dict[str, Any]
MAX_TTL_S = 9_000_000_000
COMPARED_FIELDS = {
    CompareTarget.CREATE: "create_revision",
    CompareTarget.MOD: "mod_revision",
    CompareTarget.VERSION: "version",
}


class InvalidCallError(ValueError):
    """An invalid request body: answered with status 400 and code 3."""


class NotFoundError(KeyError):
    """A lease that does not exist: answered with status 404 and code 5."""


def handle_call(store: Store, path: str, body: Body, now_us: int) -> Body:
    """Expire the leases that are due, then execute a call.

    Args:
        store: The keys and leases.
        path: The path of the call, one of `HANDLERS`.
        body: The decoded JSON body.
        now_us: The current time.

    Raises:
        InvalidCallError: The body is invalid.
        NotFoundError: The lease does not exist.
        KeyError: The path does not exist.
    """
    store.expire(now_us)
    return HANDLERS[path](store, body, now_us)


def _read_bytes(body: Body, field: str) -> bytes:
    try:
        return base64.b64decode(body.get(field, ""), validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise InvalidCallError(f"{field}: no base64") from None


def _read_number(body: Body, field: str) -> int:
    try:
        return int(body.get(field, 0))
    except (TypeError, ValueError):
        raise InvalidCallError(f"{field}: no number") from None


def _format_header(store: Store) -> Body:
    return {"cluster_id": "1", "member_id": "1", "revision": str(store.revision), "raft_term": "2"}


def _format_entry(key: bytes, entry: Entry) -> Body:
    formatted = {
        "key": base64.b64encode(key).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value:
        formatted["value"] = base64.b64encode(entry.value).decode()
    if entry.lease_id:
        formatted["lease"] = str(entry.lease_id)
    return formatted


def _grant(store: Store, body: Body, now_us: int) -> Body:
    ttl_s = _read_number(body, "TTL")
    if not 0 < ttl_s <= MAX_TTL_S:
        raise InvalidCallError("TTL: out of range")
    return {"header": _format_header(store), "ID": str(store.grant(ttl_s, now_us)), "TTL": str(ttl_s)}


def _keep_alive(store: Store, body: Body, now_us: int) -> Body:
    lease_id = _read_number(body, "ID")
    ttl_s = store.keep_alive(lease_id, now_us)
    result = {"header": _format_header(store), "ID": str(lease_id)}
    if ttl_s:
        result["TTL"] = str(ttl_s)
    return {"result": result}


def _revoke(store: Store, body: Body, _now_us: int) -> Body:
    if not store.revoke(_read_number(body, "ID")):
        raise NotFoundError("requested lease not found")
    return {"header": _format_header(store)}


def _range(store: Store, body: Body, _now_us: int) -> Body:
    entries = store.range(_read_bytes(body, "key"), _read_bytes(body, "range_end"))
    response: Body = {"header": _format_header(store)}
    if entries:
        response["kvs"] = [_format_entry(key, entry) for key, entry in entries]
        response["count"] = str(len(entries))
    return response


def _transact(store: Store, body: Body, now_us: int) -> Body:
    succeeded = all(_compare(store, comparison) for comparison in body.get("compare", []))
    operations = body.get("success" if succeeded else "failure", [])
    puts = [operation["request_put"] for operation in operations if "request_put" in operation]
    for put in puts:
        lease_id = _read_number(put, "lease")
        if lease_id and lease_id not in store.leases:
            raise NotFoundError("requested lease not found")  # before any change is made
    if puts:
        store.revision += 1
    responses = [_execute_operation(store, operation, now_us) for operation in operations]
    response: Body = {"header": _format_header(store)}
    if succeeded:
        response["succeeded"] = True
    response["responses"] = responses
    return response


def _execute_operation(store: Store, operation: Body, now_us: int) -> Body:
    """Execute one operation (etcd: RequestOp) of a transaction."""
    if "request_put" in operation:
        put = operation["request_put"]
        store.put(_read_bytes(put, "key"), _read_bytes(put, "value"), _read_number(put, "lease"))
        return {"response_put": {"header": _format_header(store)}}
    if "request_range" in operation:
        return {"response_range": _range(store, operation["request_range"], now_us)}
    raise InvalidCallError("request: unknown")


def _compare(store: Store, comparison: Body) -> bool:
    try:
        target = CompareTarget(comparison.get("target", "VERSION"))
    except ValueError:
        target = None
    if target is None or comparison.get("result", "EQUAL") != "EQUAL":
        raise InvalidCallError("compare: only EQUAL of CREATE, MOD and VERSION is here")
    return store.compare(_read_bytes(comparison, "key"), target, _read_number(comparison, COMPARED_FIELDS[target]))


HANDLERS: dict[str, Callable[[Store, Body, int], Body]] = {
    "/v3/lease/grant": _grant,
    "/v3/lease/keepalive": _keep_alive,
    "/v3/lease/revoke": _revoke,
    "/v3/kv/range": _range,
    "/v3/kv/txn": _transact,
}
