"""Models the latencies of the network, without jitter."""

from __future__ import annotations

from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.streams import RandomStreams


class NetworkModel:
    """One-way latencies between zones, and between clients and proxies; drawn once per run."""

    def __init__(self, scenario: Scenario, streams: RandomStreams) -> None:
        stream = streams.create_generator("network")
        ranges = scenario.network
        zones = range(len(scenario.fleet.zones))
        self._zone_latency_us = [
            [int(1000 * stream.uniform(*(ranges.same_ms if a == b else ranges.cross_ms))) for b in zones] for a in zones
        ]
        self.client_latency_us = int(1000 * stream.uniform(*ranges.client_ms))

    def latency_us(self, from_zone: int, to_zone: int) -> int:
        """Return the one-way latency between two zones."""
        return self._zone_latency_us[from_zone][to_zone]
