"""Bodies into answers, as the published interface words them: base64, numbers as strings, nothing that is zero."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any

from stoatgw.emulator.engine.store import Entry, Store

Body = dict[str, Any]
TTL_MOST_S = 9_000_000_000


class BadCallError(ValueError):
    """A body cannot be used: answered with status 400 and code 3."""


class NotFoundError(KeyError):
    """A lease that is not there: answered with status 404 and code 5."""


def answer(store: Store, path: str, body: Body, now_us: int) -> Body:
    """Carry a call out. Raises BadCallError, NotFoundError; KeyError for a path that there is not."""
    store.expire(now_us)
    return PATHS[path](store, body, now_us)


def _bytes(body: Body, field: str) -> bytes:
    try:
        return base64.b64decode(body.get(field, ""), validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise BadCallError(f"{field}: no base64") from None


def _int(body: Body, field: str) -> int:
    try:
        return int(body.get(field, 0))
    except (TypeError, ValueError):
        raise BadCallError(f"{field}: no number") from None


def _header(store: Store) -> Body:
    return {"cluster_id": "1", "member_id": "1", "revision": str(store.revision), "raft_term": "2"}


def _pair(key: bytes, entry: Entry) -> Body:
    pair = {
        "key": base64.b64encode(key).decode(),
        "create_revision": str(entry.create),
        "mod_revision": str(entry.change),
        "version": str(entry.version),
    }
    if entry.value:
        pair["value"] = base64.b64encode(entry.value).decode()
    if entry.lease:
        pair["lease"] = str(entry.lease)
    return pair


def _grant(store: Store, body: Body, now_us: int) -> Body:
    ttl_s = _int(body, "TTL")
    if not 0 < ttl_s <= TTL_MOST_S:
        raise BadCallError("TTL: out of range")
    return {"header": _header(store), "ID": str(store.grant(ttl_s, now_us)), "TTL": str(ttl_s)}


def _keep_alive(store: Store, body: Body, now_us: int) -> Body:
    lease = _int(body, "ID")
    ttl_s = store.keep_alive(lease, now_us)
    found = {"header": _header(store), "ID": str(lease)} | ({"TTL": str(ttl_s)} if ttl_s else {})
    return {"result": found}


def _revoke(store: Store, body: Body, _: int) -> Body:
    if not store.revoke(_int(body, "ID")):
        raise NotFoundError("requested lease not found")
    return {"header": _header(store)}


def _found(store: Store, body: Body) -> Body:
    rows = store.range(_bytes(body, "key"), _bytes(body, "range_end"))
    found: Body = {"header": _header(store)}
    if rows:
        found |= {"kvs": [_pair(key, entry) for key, entry in rows], "count": str(len(rows))}
    return found


def _range(store: Store, body: Body, _: int) -> Body:
    return _found(store, body)


def _txn(store: Store, body: Body, _: int) -> Body:
    done = all(_holds(store, each) for each in body.get("compare", []))
    steps = body.get("success" if done else "failure", [])
    puts = [each["request_put"] for each in steps if "request_put" in each]
    for each in puts:
        if (lease := _int(each, "lease")) and lease not in store.leases:
            raise NotFoundError("requested lease not found")  # before anything is changed
    store.revision += bool(puts)
    responses: list[Body] = []
    for each in steps:
        if "request_put" in each:
            put = each["request_put"]
            store.put(_bytes(put, "key"), _bytes(put, "value"), _int(put, "lease"))
            responses.append({"response_put": {"header": _header(store)}})
        elif "request_range" in each:
            responses.append({"response_range": _found(store, each["request_range"])})
        else:
            raise BadCallError("request: unknown")
    return {"header": _header(store)} | ({"succeeded": True} if done else {}) | {"responses": responses}


def _holds(store: Store, compare: Body) -> bool:
    target = compare.get("target", "VERSION")
    field = {"CREATE": "create_revision", "MOD": "mod_revision", "VERSION": "version"}.get(target)
    if field is None or compare.get("result", "EQUAL") != "EQUAL":
        raise BadCallError("compare: only EQUAL of CREATE, MOD and VERSION is here")
    return store.holds(_bytes(compare, "key"), target, _int(compare, field))


PATHS: dict[str, Callable[[Store, Body, int], Body]] = {
    "/v3/lease/grant": _grant,
    "/v3/lease/keepalive": _keep_alive,
    "/v3/lease/revoke": _revoke,
    "/v3/kv/range": _range,
    "/v3/kv/txn": _txn,
}
