"""Random numbers: one child stream of the run's seed for each party, by numpy's SeedSequence.

A party's draws depend on the seed and its own name alone: what another does, or how many there are of it,
changes nothing. So two settings meet the same clients, machines and troubles (paired seeds).
"""

from __future__ import annotations

import zlib

import numpy as np


class RandomStreams:
    def __init__(self, seed: int) -> None:
        if seed < 0:
            raise ValueError("a seed is a whole number from 0")
        self.seed = seed

    def of(self, party: str, index: int = 0) -> np.random.Generator:
        """The generator of one party, such as ("server", 3); each call begins it anew."""
        key = (zlib.crc32(party.encode()), index)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=key)))

    def number(self, party: str, index: int = 0) -> int:
        """A seed for one who keeps a generator of its own, such as the module."""
        return int(self.of(party, index).integers(1 << 62))
