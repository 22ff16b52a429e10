"""The fixed properties of a modelled session server, drawn when it is created."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from stoatgw.emulator.world.scenario import Fleet, ServerKind

MIN_REPORT_INTERVAL_US = 1000


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """The properties of a server that are not drawn: its name, its zone and its kind."""

    name: str
    zone: int
    kind: int  # index in the scenario's list of kinds


@dataclass(frozen=True, slots=True)
class ServerProperties:
    """The properties of a server. Work is in seconds of the whole machine's time."""

    name: str
    zone: int
    kind: int
    cores: int
    speed: float
    capacity_units: float  # capacity in load units when warm
    max_connections: int
    message_work_s: float
    full_table_overhead: float  # share of the capacity that a full connection table uses
    group_cost: float  # load units for each group with connections
    max_backlog_s: float
    setup_work_range_s: tuple[float, float]
    health_check_work_s: float
    report_interval_us: int
    report_delay_us: int
    report_noise: float
    initial_warm_up_fraction: float
    warm_up_us: int


def draw_server_properties(
    identity: ServerIdentity, fleet: Fleet, latency_objective_s: float, stream: np.random.Generator
) -> ServerProperties:
    """Draw the properties of a server, in the order of the fields: reordering the draws changes the servers.

    Args:
        identity: Its name, zone and kind.
        fleet: The ranges to draw from.
        latency_objective_s: The shortest of all classes; the work per message is a share of it.
        stream: The server's own random stream.
    """
    kind: ServerKind = fleet.kinds[identity.kind]
    uniform = stream.uniform
    speed = float(uniform(*kind.speed))
    capacity_units = float(uniform(*fleet.per_core)) * kind.cores * speed
    machine_speed = kind.cores * speed
    return ServerProperties(
        name=identity.name,
        zone=identity.zone,
        kind=identity.kind,
        cores=kind.cores,
        speed=speed,
        capacity_units=capacity_units,
        max_connections=max(1, int(capacity_units * uniform(*fleet.cap))),
        message_work_s=float(uniform(*fleet.message)) * latency_objective_s,
        full_table_overhead=float(uniform(*fleet.full_tax)),
        group_cost=fleet.group_cost,
        max_backlog_s=float(uniform(*fleet.buffer_s)),
        setup_work_range_s=(fleet.setup_ms[0] / 1e3 / machine_speed, fleet.setup_ms[1] / 1e3 / machine_speed),
        health_check_work_s=float(uniform(*fleet.probe_ms)) / 1e3 / machine_speed,
        report_interval_us=max(MIN_REPORT_INTERVAL_US, int(uniform(*fleet.report_ms) * 1000)),
        report_delay_us=int(uniform(*fleet.report_late_ms) * 1000),
        report_noise=float(uniform(*fleet.report_noise)),
        initial_warm_up_fraction=float(uniform(*kind.cold_from)),
        warm_up_us=int(uniform(*kind.cold_s) * 1e6),
    )
