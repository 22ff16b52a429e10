"""Discovery as a model: which endpoint changes each proxy is notified of, and when."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scheduler import Scheduler
from stoatgw.emulator.world.server_model import ServerLifecycle, ServerModel
from stoatgw.emulator.world.streams import RandomStreams, UniformSource

BATCH_INTERVAL_US = 250_000  # changes for a proxy are sent in batches
PROXY_PHASE_STEP_US = 997  # proxies are notified at phases of their own
PROXY_PHASES = 199

Notify = Callable[[int, list["EndpointEntry"], bool], None]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of the list, as discovery publishes it."""

    server: str
    lifecycle: str
    zone: int
    server_kind: int
    started_us: int


def endpoint_entry(server: ServerModel) -> EndpointEntry:
    """A server's entry; discovery cannot tell a machine that disappeared from a process that ended."""
    lifecycle = ServerLifecycle.GONE if server.lifecycle is ServerLifecycle.VANISHED else server.lifecycle
    properties = server.properties
    return EndpointEntry(properties.name, lifecycle.value, properties.zone, properties.kind, server.started_us)


class EndpointPublisher:
    """Sends every proxy the changes of the endpoint list, in its own time and in order for each server."""

    def __init__(
        self,
        scenario: Scenario,
        scheduler: Scheduler,
        streams: RandomStreams,
        servers: Sequence[ServerModel],
        notify: Notify,
    ) -> None:
        """`servers` are known to all proxies at the start; `notify` takes proxy, entries and `is_snapshot`."""
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
        """Discovery learns the server's state of now, and notifies each proxy later."""
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
        """Send a proxy its full list now."""
        self._notify(proxy, list(self.known_endpoints[proxy].values()), True)

    def silence(self, until_us: int) -> None:
        """Hold all changes back until a time."""
        self._silent_until_us = max(self._silent_until_us, until_us)


def _phase_us(proxy: int) -> int:
    return PROXY_PHASE_STEP_US * (proxy % PROXY_PHASES)
