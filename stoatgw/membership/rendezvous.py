"""Who of the live instances has which duty: rendezvous hashing with weights and bounded loads. Pure.

Every instance that sees the same members finds the same answer, and one that joins or is lost moves little else
than its own share.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from math import ceil, log

SLACK = 1.25  # nobody has over so many times a fair share


def order(duty: str, members: Mapping[str, float]) -> list[str]:
    """All members by how near they are to the duty, the nearest first; a weight of two is nearest twice as often."""
    return sorted(members, key=lambda member: (_distance(duty, member) / members[member], member))


def _distance(duty: str, member: str) -> float:
    digest = blake2b(f"{duty}\0{member}".encode(), digest_size=8).digest()
    return -log((int.from_bytes(digest, "big") + 1) / 2**64)


def assign(duties: Iterable[str], members: Mapping[str, float]) -> dict[str, list[str]]:
    """For each duty its holder, then those who stand in, in order. Members that have their share already come last."""
    names = sorted(duties)
    total, held = sum(members.values()) or 1.0, Counter[str]()
    most = {member: ceil(SLACK * len(names) * weight / total) for member, weight in members.items()}
    assigned = {}
    for duty in names:
        near = order(duty, members)
        full = [member for member in near if held[member] >= most[member]]
        assigned[duty] = [member for member in near if held[member] < most[member]] + full
        if near:
            held[assigned[duty][0]] += 1
    return assigned
