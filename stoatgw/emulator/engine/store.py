"""Keys, revisions and leases: pure. Time is handed in, in microseconds of a clock that only goes forward."""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson


@dataclass(slots=True)
class Entry:
    value: bytes
    create: int
    change: int
    version: int
    lease: int


@dataclass(slots=True)
class Lease:
    ttl_s: int
    until_us: int


@dataclass(slots=True)
class Store:
    revision: int = 1
    entries: dict[bytes, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    leases_made: int = 0

    def expire(self, now_us: int) -> None:
        for lease in [each for each, held in self.leases.items() if held.until_us <= now_us]:
            self.revoke(lease)

    def grant(self, ttl_s: int, now_us: int) -> int:
        self.leases_made += 1
        lease = 7_000_000_000 + self.leases_made  # never the same twice, also after a restart that kept the data
        self.leases[lease] = Lease(ttl_s, now_us + ttl_s * 1_000_000)
        return lease

    def keep_alive(self, lease: int, now_us: int) -> int:
        """Its term from now on in seconds; 0 where there is none."""
        held = self.leases.get(lease)
        if held is None:
            return 0
        held.until_us = now_us + held.ttl_s * 1_000_000
        return held.ttl_s

    def revoke(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        gone = [key for key, entry in self.entries.items() if entry.lease == lease]
        self.revision += bool(gone)
        for key in gone:
            del self.entries[key]
        return True

    def range(self, key: bytes, end: bytes) -> list[tuple[bytes, Entry]]:
        if not end:
            return [(key, self.entries[key])] if key in self.entries else []
        return [(each, self.entries[each]) for each in sorted(self.entries) if key <= each < end]

    def holds(self, key: bytes, target: str, number: int) -> bool:
        entry = self.entries.get(key)
        there = {"CREATE": entry.create, "MOD": entry.change, "VERSION": entry.version} if entry is not None else {}
        return there.get(target, 0) == number

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """As part of a transaction, at its revision."""
        old = self.entries.get(key)
        create, version = (old.create, old.version) if old is not None else (self.revision, 0)
        self.entries[key] = Entry(value, create, self.revision, version + 1, lease)

    def copy(self) -> Store:
        return load(dump(self), 0, keep=True)


def dump(store: Store) -> bytes:
    entries = {
        key.hex(): [entry.value.hex(), entry.create, entry.change, entry.version, entry.lease]
        for key, entry in store.entries.items()
    }
    leases = {str(lease): [held.ttl_s, held.until_us] for lease, held in store.leases.items()}
    return orjson.dumps([store.revision, store.leases_made, entries, leases])


def load(data: bytes, now_us: int, *, keep: bool = False) -> Store:
    """What was dumped; a lease has its whole term anew, as after a change of the engine's leader. Raises ValueError."""
    revision, made, entries, leases = orjson.loads(data)
    store = Store(revision, leases_made=made)
    for key, (value, create, change, version, lease) in entries.items():
        store.entries[bytes.fromhex(key)] = Entry(bytes.fromhex(value), create, change, version, lease)
    for lease, (ttl_s, until_us) in leases.items():
        store.leases[int(lease)] = Lease(ttl_s, until_us if keep else now_us + ttl_s * 1_000_000)
    return store
