"""Random numbers: one child stream of the run's seed for each party, by numpy's SeedSequence.

The draws of a party depend on the seed and its own name alone: what another party does, or how many there are of it,
changes nothing. So two settings meet the same clients, servers and faults (paired seeds).
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK_SIZE = 512


class RandomStreams:
    """All random streams of a run."""

    def __init__(self, seed: int) -> None:
        if seed < 0:
            raise ValueError("a seed is a whole number from 0")
        self.seed = seed

    def create_generator(self, stream_name: str, index: int = 0) -> np.random.Generator:
        """The generator of one party, such as ("server", 3); each call begins it anew."""
        key = (zlib.crc32(stream_name.encode()), index)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=key)))

    def derive_seed(self, stream_name: str, index: int = 0) -> int:
        """A seed for a party that has a generator of its own, such as the decision policy."""
        return int(self.create_generator(stream_name, index).integers(1 << 62))


class UniformSource:
    """Uniform numbers from one stream, drawn in blocks: a single draw costs far more than its share of a block."""

    def __init__(self, stream: np.random.Generator) -> None:
        self._stream = stream
        self._block: list[float] = []

    def next(self) -> float:
        """The next number from 0 to 1."""
        if not self._block:
            self._block = self._stream.random(BLOCK_SIZE).tolist()
        return self._block.pop()

    def between(self, low: float, high: float) -> float:
        """The next number, scaled to a range."""
        return low + (high - low) * self.next()
