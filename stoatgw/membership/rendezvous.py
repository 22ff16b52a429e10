"""Assignment of items to live members: weighted rendezvous hashing with bounded loads. Pure.

Processes that see the same members compute the same assignment. A member that joins or is lost moves few items other
than its own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from math import ceil, log

MAX_LOAD_FACTOR = 1.25  # limit of a member's load, as a multiple of its fair share


def rank_members(item: str, weights: Mapping[str, float]) -> list[str]:
    """Rank the members for an item, nearest first; a member with twice the weight is first twice as often."""
    return sorted(weights, key=lambda member: (_distance(item, member) / weights[member], member))


def _distance(item: str, member: str) -> float:
    digest = blake2b(f"{item}\0{member}".encode(), digest_size=8).digest()
    return -log((int.from_bytes(digest, "big") + 1) / 2**64)


def assign(items: Iterable[str], weights: Mapping[str, float]) -> dict[str, list[str]]:
    """Return for each item its assignee, then the members that take over in order; members at their limit come last."""
    names = sorted(items)
    total_weight = sum(weights.values()) or 1.0
    limits = {member: ceil(MAX_LOAD_FACTOR * len(names) * weight / total_weight) for member, weight in weights.items()}
    loads = Counter[str]()
    assigned = {}
    for item in names:
        ranked = rank_members(item, weights)
        available = [member for member in ranked if loads[member] < limits[member]]
        full = [member for member in ranked if loads[member] >= limits[member]]
        assigned[item] = available + full
        if ranked:
            loads[assigned[item][0]] += 1
    return assigned
