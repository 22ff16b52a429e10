"""Scenarios as checked records: fleet, clients, network, discovery, proxies and faults of a run.

The field names are those of the TOML files. Reading a file is in `scenario_file`.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, Literal

import msgspec

from stoatgw.emulator.world.scenario_faults import AnyFault
from stoatgw.emulator.world.scenario_types import Count, NotNegative, Positive, Range, Share, ShareRange, Table
from stoatgw.rebalance.limits import RebalanceLimits


class ServerKind(Table, frozen=True):
    """A kind of server machine."""

    name: str
    share: Share  # of the fleet
    cores: Count = 2
    speed: Range = (1.0, 1.0)  # of a core, relative
    cold_from: ShareRange = (0.13, 0.35)  # warm-up fraction at the start of the process
    cold_s: Range = (11.0, 24.0)  # how long it warms up


KINDS = (
    ServerKind(name="fast-2c", share=0.19, speed=(1.1, 1.5)),
    ServerKind(name="std-2c", share=0.37, speed=(0.85, 1.1)),
    ServerKind(name="slow-2c", share=0.44, speed=(0.59, 0.8)),
)


class Fleet(Table, frozen=True):
    """The session servers. A range is drawn from once for each server."""

    servers: Count = 8
    zones: tuple[str, ...] = ("aarhus-1", "odense-1")
    kinds: tuple[ServerKind, ...] = KINDS
    per_core: Range = (20.0, 40.0)  # load units that fill a core of speed 1
    cap: Range = (1.4, 1.9)  # maximum of connections, as a multiple of those that fill the server
    message: ShareRange = (0.03, 0.12)  # work of a message, as a share of the shortest latency objective
    full_tax: ShareRange = (0.16, 0.4)  # share of its capacity that a full connection table takes
    group_cost: NotNegative = 1.0  # load units that each group costs of which a server has any connection
    buffer_s: Range = (0.5, 3.0)  # backlog over which a server drops its newest connections
    setup_ms: Range = (3.1, 18.0)  # work of a session's set-up on a core of speed 1
    probe_ms: Range = (0.22, 0.44)  # work of a health check
    report_ms: Range = (58.0, 450.0)  # interval of load reports
    report_late_ms: Range = (23.0, 140.0)  # age at which a report becomes visible
    report_noise: ShareRange = (0.038, 0.14)
    drain_s: Range = (2.2, 5.8)  # from the announcement of a drain to the end of the process


class ClientClass(Table, frozen=True):
    """A class of requests and how its sessions behave."""

    name: str
    share: Share
    load: Range = (1.0, 1.0)  # relative to the other classes
    worth: NotNegative = 1.0  # priority weight
    aim_ms: Positive = 100.0  # latency objective of a message
    on_time_ms: Positive = 500.0
    deadline_ms: Positive = 2000.0
    load_sigma: NotNegative = 1.0
    swing_sigma: NotNegative = 0.4
    change_s: Range = (5.0, 20.0)  # interval of load changes
    idle: ShareRange = (0.047, 0.48)  # share of the time without any load


CLASSES = (
    ClientClass(name="patient-session", share=0.75, worth=2.0, aim_ms=100.0),
    ClientClass(name="clinic-view", share=0.25, load=(4.0, 8.0), worth=1.0, aim_ms=250.0),
)


class Clients(Table, frozen=True):
    """The demand: how many sessions are wanted, when, for how long, and how clients retry."""

    load: Positive = 0.35  # mean load, as a share of what the warm fleet can serve
    life_s: Range = (26.0, 200.0)  # range of the run's mean session length
    life_sigma: NotNegative = 1.0
    classes: tuple[ClientClass, ...] = CLASSES
    group_size: Range = (5.0, 60.0)
    group_zipf: NotNegative = 0.8
    standing: bool = True  # whether sessions are established before the run starts
    arrivals: Literal["steady", "bursty"] = "bursty"
    swing: Share = 0.3  # amplitude of the arrival rate
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    backoff_ms: Range = (25.0, 200.0)
    honour: ShareRange = (0.7, 1.0)  # share of the clients that respect the wait of `BUSY MS`
    rejoin_ms: Range = (130.0, 820.0)  # delay before a disconnected client connects again
    line_every_s: Positive = 2.0  # interval of a session's messages


class Network(Table, frozen=True):
    """One-way latencies, and failures to connect."""

    same_ms: Range = (0.08, 0.34)  # within a zone
    cross_ms: Range = (0.94, 1.7)  # between zones
    client_ms: Range = (0.41, 1.1)  # between clients and proxies
    jitter: Share = 0.2
    connect_failures: Share = 0.0


class Discovery(Table, frozen=True):
    """Delays with which discovery publishes changes."""

    notice_s: Range = (1.3, 4.7)  # the end or drain of a process
    silent_notice_s: Range = (6.2, 14.0)  # a machine that disappeared
    add_s: Range = (0.3, 2.4)  # a new server


class Proxies(Table, frozen=True):
    """The proxies and the limits that they are given."""

    count: Count = 3
    notice_s: Range = (0.82, 3.9)  # delay until clients are no longer sent to a dead proxy
    restart_s: Range = (0.5, 1.5)  # from a planned end to the next start
    sockets: Count = 1024
    memory_mb: Count = 192


class PolicySettings(Table, frozen=True):
    """The settings of the decision policy that a scenario chooses."""

    probes: bool = True
    probe_price: NotNegative = 0.004
    retry_after_most_ms: NotNegative = 1000.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 6
    tells_delay: bool = True
    drain_grace_ms: Positive = 3000.0
    fall_multiple: Positive = 4.0
    fall_ms: Positive = 1000.0


class Operators(Table, frozen=True):
    """What a scenario sets of the operators' own configuration file."""

    rebalance: RebalanceLimits = RebalanceLimits()


class Scenario(Table, frozen=True):
    """All that a run depends on but the seed."""

    version: Literal[1]
    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,40}$")]
    about: str = ""
    length_s: Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)] = 60.0
    fleet: Fleet = Fleet()
    clients: Clients = Clients()
    network: Network = Network()
    discovery: Discovery = Discovery()
    proxies: Proxies = Proxies()
    module: PolicySettings = PolicySettings()
    operators: Operators = Operators()
    faults: tuple[AnyFault, ...] = ()

    @property
    def digest(self) -> str:
        """A digest of all fields, the same in every process."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:16]
