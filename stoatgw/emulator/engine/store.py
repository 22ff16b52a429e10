"""Keys, revisions and leases, without I/O. Times are passed in, in microseconds of a monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import orjson

FIRST_LEASE_ID = 7_000_000_000


class CompareTarget(Enum):
    """What a transaction may compare; the values are those of the HTTP interface."""

    CREATE = "CREATE"
    MOD = "MOD"
    VERSION = "VERSION"


@dataclass(slots=True)
class Entry:
    """A key's value and metadata.

    Attributes:
        value: The value.
        create_revision: The revision of its creation.
        mod_revision: The revision of its last change.
        version: Number of writes since its creation.
        lease_id: The lease that it is attached to, or 0.
    """

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclass(slots=True)
class Lease:
    """The time to live of a lease, and when it expires."""

    ttl_s: int
    expires_us: int


@dataclass(slots=True)
class Store:
    """All keys and leases; the revision increases with each change."""

    revision: int = 1
    entries: dict[bytes, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    leases_granted: int = 0

    def expire(self, now_us: int) -> None:
        """Revoke the leases that have expired."""
        expired = [lease_id for lease_id, lease in self.leases.items() if lease.expires_us <= now_us]
        for lease_id in expired:
            self.revoke(lease_id)

    def grant(self, ttl_s: int, now_us: int) -> int:
        """Grant a lease, and return its id, which is unique even across restarts that keep the data."""
        self.leases_granted += 1
        lease_id = FIRST_LEASE_ID + self.leases_granted
        self.leases[lease_id] = Lease(ttl_s, now_us + ttl_s * 1_000_000)
        return lease_id

    def keep_alive(self, lease_id: int, now_us: int) -> int:
        """Renew a lease, and return its time to live in seconds; return 0 if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_us = now_us + lease.ttl_s * 1_000_000
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """Revoke a lease, and delete its keys; return False if it does not exist."""
        if self.leases.pop(lease_id, None) is None:
            return False
        deleted = [key for key, entry in self.entries.items() if entry.lease_id == lease_id]
        if deleted:
            self.revision += 1
        for key in deleted:
            del self.entries[key]
        return True

    def range(self, key: bytes, range_end: bytes) -> list[tuple[bytes, Entry]]:
        """Return the entry of a key, or all entries from `key` to before `range_end`, sorted by key."""
        if not range_end:
            return [(key, self.entries[key])] if key in self.entries else []
        return [(found, self.entries[found]) for found in sorted(self.entries) if key <= found < range_end]

    def compare(self, key: bytes, target: CompareTarget, number: int) -> bool:
        """Return whether a key's revision or version equals a number; all are 0 for a key that does not exist."""
        entry = self.entries.get(key)
        if entry is None:
            return number == 0
        match target:
            case CompareTarget.CREATE:
                return entry.create_revision == number
            case CompareTarget.MOD:
                return entry.mod_revision == number
            case CompareTarget.VERSION:
                return entry.version == number

    def put(self, key: bytes, value: bytes, lease_id: int) -> None:
        """Write a key at the store's current revision, which the transaction has increased."""
        previous = self.entries.get(key)
        if previous is None:
            self.entries[key] = Entry(value, self.revision, self.revision, 1, lease_id)
        else:
            version = previous.version + 1
            self.entries[key] = Entry(value, previous.create_revision, self.revision, version, lease_id)

    def copy(self) -> Store:
        """Return an independent copy."""
        return load(dump(self))


def dump(store: Store) -> bytes:
    """Serialize a store for its file."""
    entries = {
        key.hex(): [entry.value.hex(), entry.create_revision, entry.mod_revision, entry.version, entry.lease_id]
        for key, entry in store.entries.items()
    }
    leases = {str(lease_id): [lease.ttl_s, lease.expires_us] for lease_id, lease in store.leases.items()}
    return orjson.dumps([store.revision, store.leases_granted, entries, leases])


def load(data: bytes) -> Store:
    """Deserialize a store.

    Raises:
        ValueError: The data was not written by `dump`.
    """
    revision, leases_granted, entries, leases = orjson.loads(data)
    store = Store(revision, leases_granted=leases_granted)
    for key, (value, *numbers) in entries.items():
        store.entries[bytes.fromhex(key)] = Entry(bytes.fromhex(value), *numbers)
    for lease_id, (ttl_s, expires_us) in leases.items():
        store.leases[int(lease_id)] = Lease(ttl_s, expires_us)
    return store


def restore(data: bytes, now_us: int) -> Store:
    """Deserialize a store that another process wrote; renew all leases, as etcd does when its leader changes.

    Raises:
        ValueError: The data was not written by `dump`.
    """
    store = load(data)
    for lease_id in store.leases:
        store.keep_alive(lease_id, now_us)
    return store
