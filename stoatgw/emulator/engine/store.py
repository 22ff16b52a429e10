"""Keys, revisions and leases: pure. Time is passed in, in microseconds of a monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import orjson

FIRST_LEASE_ID = 7_000_000_000


class CompareTarget(Enum):
    """What a transaction may compare, as the interface words it."""

    CREATE = "CREATE"
    MOD = "MOD"
    VERSION = "VERSION"


@dataclass(slots=True)
class Entry:
    """A key's value, the revisions of its creation and last change, how often it was written, and its lease."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclass(slots=True)
class Lease:
    """A lease's time to live, and when it expires."""

    ttl_s: int
    expires_us: int


@dataclass(slots=True)
class Store:
    """All keys and leases; the revision grows with each change."""

    revision: int = 1
    entries: dict[bytes, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    leases_granted: int = 0

    def expire(self, now_us: int) -> None:
        """Revoke the leases whose time is over."""
        expired = [lease_id for lease_id, lease in self.leases.items() if lease.expires_us <= now_us]
        for lease_id in expired:
            self.revoke(lease_id)

    def grant(self, ttl_s: int, now_us: int) -> int:
        """A new lease's id: never the same twice, also after a restart that kept the data."""
        self.leases_granted += 1
        lease_id = FIRST_LEASE_ID + self.leases_granted
        self.leases[lease_id] = Lease(ttl_s, now_us + ttl_s * 1_000_000)
        return lease_id

    def keep_alive(self, lease_id: int, now_us: int) -> int:
        """The lease's time to live from now on in seconds; 0 if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_us = now_us + lease.ttl_s * 1_000_000
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """End a lease and its keys; False if it does not exist."""
        if self.leases.pop(lease_id, None) is None:
            return False
        deleted = [key for key, entry in self.entries.items() if entry.lease_id == lease_id]
        if deleted:
            self.revision += 1
        for key in deleted:
            del self.entries[key]
        return True

    def range(self, key: bytes, range_end: bytes) -> list[tuple[bytes, Entry]]:
        """The entry of a key, or with an end all entries from the key up to it, sorted."""
        if not range_end:
            return [(key, self.entries[key])] if key in self.entries else []
        return [(found, self.entries[found]) for found in sorted(self.entries) if key <= found < range_end]

    def compare(self, key: bytes, target: CompareTarget, number: int) -> bool:
        """Whether a key's revision or version is that number; all are 0 for a key that does not exist."""
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
        """Write a key as part of a transaction, at its revision."""
        previous = self.entries.get(key)
        if previous is None:
            self.entries[key] = Entry(value, self.revision, self.revision, 1, lease_id)
        else:
            version = previous.version + 1
            self.entries[key] = Entry(value, previous.create_revision, self.revision, version, lease_id)

    def copy(self) -> Store:
        """An independent copy."""
        return load(dump(self))


def dump(store: Store) -> bytes:
    """The store as it is kept in a file."""
    entries = {
        key.hex(): [entry.value.hex(), entry.create_revision, entry.mod_revision, entry.version, entry.lease_id]
        for key, entry in store.entries.items()
    }
    leases = {str(lease_id): [lease.ttl_s, lease.expires_us] for lease_id, lease in store.leases.items()}
    return orjson.dumps([store.revision, store.leases_granted, entries, leases])


def load(data: bytes) -> Store:
    """What was dumped. Raises ValueError."""
    revision, leases_granted, entries, leases = orjson.loads(data)
    store = Store(revision, leases_granted=leases_granted)
    for key, (value, *numbers) in entries.items():
        store.entries[bytes.fromhex(key)] = Entry(bytes.fromhex(value), *numbers)
    for lease_id, (ttl_s, expires_us) in leases.items():
        store.leases[int(lease_id)] = Lease(ttl_s, expires_us)
    return store


def restore(data: bytes, now_us: int) -> Store:
    """What was dumped by another process; leases begin anew, as after a change of the engine's leader.

    Raises:
        ValueError: The data is no dump.
    """
    store = load(data)
    for lease_id in store.leases:
        store.keep_alive(lease_id, now_us)
    return store
