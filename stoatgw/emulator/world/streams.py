"""Random numbers: an independent stream for each component of a run, spawned by numpy's SeedSequence.

The numbers of a stream depend only on the seed, the stream's name and its index, not on the draws from other streams.
So runs with the same seed and different settings have the same clients, servers and faults (paired seeds).
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK_SIZE = 512  # numbers that `UniformSource` draws at once


class RandomStreams:
    """All random streams of a run."""

    def __init__(self, seed: int) -> None:
        if seed < 0:
            raise ValueError("the seed must not be negative")
        self.seed = seed

    def create_generator(self, stream_name: str, index: int = 0) -> np.random.Generator:
        """Create the generator of a stream, such as ("server", 3); each call returns one in its initial state."""
        key = (zlib.crc32(stream_name.encode()), index)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=key)))

    def derive_seed(self, stream_name: str, index: int = 0) -> int:
        """Return a seed for a component with its own random generator, such as the decision policy."""
        return int(self.create_generator(stream_name, index).integers(1 << 62))


class UniformSource:
    """Uniform random numbers from one stream, drawn in blocks: drawing them one by one is far slower."""

    def __init__(self, stream: np.random.Generator) -> None:
        self._stream = stream
        self._block: list[float] = []

    def next(self) -> float:
        """Return the next number from 0 to 1."""
        if not self._block:
            self._block = self._stream.random(BLOCK_SIZE).tolist()
        return self._block.pop()

    def between(self, low: float, high: float) -> float:
        """Return the next number, scaled to a range."""
        return low + (high - low) * self.next()
