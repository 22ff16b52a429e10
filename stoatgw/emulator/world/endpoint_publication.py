"""Models discovery: which endpoint changes each proxy is notified of, and when."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scheduler import Scheduler
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.streams import RandomStreams, UniformSource

BATCH_INTERVAL_US = 250_000  # changes for a proxy are sent together, at multiples of this
PROXY_PHASE_STEP_US = 997  # offset between the notifications of consecutive proxies
PROXY_PHASES = 199  # offsets repeat after this number of proxies

Notify = Callable[[int, list["EndpointEntry"], bool], None]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An entry of the endpoint list, as discovery publishes it."""

    server: str
    lifecycle: str
    zone: int
    server_kind: int
    started_us: int


def endpoint_entry(server: ServerModel) -> EndpointEntry:
    """Return a server's entry; a machine that disappeared is listed as deleted, like a process that ended."""
    lifecycle = ServerLifecycle.GONE if server.lifecycle is ServerLifecycle.VANISHED else server.lifecycle
    properties = server.properties
    return EndpointEntry(properties.name, lifecycle.value, properties.zone, properties.kind, server.started_us)


class EndpointPublisher:
    """Sends the changes of the endpoint list to each proxy, with random delays but in order for each server.

    Attributes:
        known_endpoints: The endpoint list that each proxy has been sent, by server name.
    """

    def __init__(
        self,
        scenario: Scenario,
        scheduler: Scheduler,
        streams: RandomStreams,
        servers: Sequence[ServerModel],
        notify: Notify,
    ) -> None:
        """Create a publisher.

        Args:
            scenario: The scenario of the run.
            scheduler: Schedules the notifications.
            streams: The random streams of the run.
            servers: The servers that all proxies know at the start.
            notify: Called with a proxy, its entries and whether they are a full snapshot.
        """
        proxies = range(scenario.proxies.count)
        self._delays = scenario.discovery
        self._scheduler = scheduler
        self._notify = notify
        self._delay_sources = [UniformSource(streams.create_generator("discovery", proxy)) for proxy in proxies]
        self._pending: list[dict[int, list[EndpointEntry]]] = [{} for _ in proxies]  # by due time
        self._last_due_us: dict[tuple[int, str], int] = {}
        self._silent_until_us = 0
        self.known_endpoints = [{server.name: endpoint_entry(server) for server in servers} for _ in proxies]

    def publish_change(self, server: ServerModel) -> None:
        """Publish a server's current state: each proxy is notified after a delay of its own."""
        entry = endpoint_entry(server)
        now_us = self._scheduler.now_us()
        delay_range_s = self._delay_range_s(server.lifecycle)
        for proxy, source in enumerate(self._delay_sources):
            due_us = now_us + int(source.between(*delay_range_s) * 1e6)
            due_us = -(-due_us // BATCH_INTERVAL_US) * BATCH_INTERVAL_US + _phase_us(proxy)
            due_us = max(due_us, self._last_due_us.get((proxy, entry.server), 0))
            self._last_due_us[proxy, entry.server] = due_us
            batch = self._pending[proxy].get(due_us)
            if batch is None:
                batch = self._pending[proxy][due_us] = []
                self._scheduler.call_at(due_us, partial(self._publish_batch, proxy, due_us))
            batch.append(entry)

    def _delay_range_s(self, lifecycle: ServerLifecycle) -> tuple[float, float]:
        if lifecycle is ServerLifecycle.SERVING:
            return self._delays.add_s
        if lifecycle is ServerLifecycle.VANISHED:
            return self._delays.silent_notice_s
        return self._delays.notice_s

    def _publish_batch(self, proxy: int, due_us: int) -> None:
        if self._scheduler.now_us() < self._silent_until_us:
            retry_us = self._silent_until_us + _phase_us(proxy)
            self._scheduler.call_at(retry_us, partial(self._publish_batch, proxy, due_us))
            return
        entries = self._pending[proxy].pop(due_us)
        known = self.known_endpoints[proxy]
        for entry in entries:
            if entry.lifecycle == ServerLifecycle.GONE.value:
                known.pop(entry.server, None)
            else:
                known[entry.server] = entry
        self._notify(proxy, entries, False)

    def publish_snapshot(self, proxy: int) -> None:
        """Send a proxy its full endpoint list now."""
        self._notify(proxy, list(self.known_endpoints[proxy].values()), True)

    def silence(self, until_us: int) -> None:
        """Delay all changes until `until_us`."""
        self._silent_until_us = max(self._silent_until_us, until_us)


def _phase_us(proxy: int) -> int:
    return PROXY_PHASE_STEP_US * (proxy % PROXY_PHASES)
