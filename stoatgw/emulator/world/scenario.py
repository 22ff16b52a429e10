"""Typed records of a scenario: fleet, clients, network, discovery, proxies and faults of a run.

The field names are those of the TOML files, which `scenario_file` reads.
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
    share: Share  # of the fleet's servers
    cores: Count = 2
    speed: Range = (1.0, 1.0)  # relative speed of a core
    cold_from: ShareRange = (0.13, 0.35)  # warm-up fraction (of the full capacity) at the start of the process
    cold_s: Range = (11.0, 24.0)  # duration of the warm-up


KINDS = (
    ServerKind(name="fast-2c", share=0.19, speed=(1.1, 1.5)),
    ServerKind(name="std-2c", share=0.37, speed=(0.85, 1.1)),
    ServerKind(name="slow-2c", share=0.44, speed=(0.59, 0.8)),
)


class Fleet(Table, frozen=True):
    """The session servers. From each range, one value is drawn per server."""

    servers: Count = 8
    zones: tuple[str, ...] = ("aarhus-1", "odense-1")
    kinds: tuple[ServerKind, ...] = KINDS
    per_core: Range = (20.0, 40.0)  # capacity of a core of speed 1, in load units
    cap: Range = (1.4, 1.9)  # connection limit, as a multiple of the capacity in load units
    message: ShareRange = (0.03, 0.12)  # work per message, as a share of the shortest latency objective
    full_tax: ShareRange = (0.16, 0.4)  # share of the capacity that a full connection table uses
    group_cost: NotNegative = 1.0  # load units for each group of which a server has connections
    buffer_s: Range = (0.5, 3.0)  # backlog above which a server drops its newest connections
    setup_ms: Range = (3.1, 18.0)  # work per session set-up on a core of speed 1
    probe_ms: Range = (0.22, 0.44)  # work per health check on a core of speed 1
    report_ms: Range = (58.0, 450.0)  # interval of load reports
    report_late_ms: Range = (23.0, 140.0)  # age at which a report becomes visible
    report_noise: ShareRange = (0.038, 0.14)  # relative standard deviation of the reported load
    drain_s: Range = (2.2, 5.8)  # from the start of a drain to the end of the process


class ClientClass(Table, frozen=True):
    """A class of requests and how its sessions behave."""

    name: str
    share: Share
    load: Range = (1.0, 1.0)  # mean load of a session, relative to the other classes
    worth: NotNegative = 1.0  # priority weight
    aim_ms: Positive = 100.0  # latency objective of a message
    on_time_ms: Positive = 500.0  # an answer after this time is late
    deadline_ms: Positive = 2000.0  # of a request
    load_sigma: NotNegative = 1.0  # of the log-normal mean loads of the sessions
    swing_sigma: NotNegative = 0.4  # of the log-normal changes of a session's load
    change_s: Range = (5.0, 20.0)  # interval between the changes of a session's load
    idle: ShareRange = (0.047, 0.48)  # share of the time without load


CLASSES = (
    ClientClass(name="patient-session", share=0.75, worth=2.0, aim_ms=100.0),
    ClientClass(name="clinic-view", share=0.25, load=(4.0, 8.0), worth=1.0, aim_ms=250.0),
)


class Clients(Table, frozen=True):
    """The demand for sessions, and how clients retry."""

    load: Positive = 0.35  # mean load, as a share of the capacity of the warm fleet
    life_s: Range = (26.0, 200.0)  # mean session length of the run
    life_sigma: NotNegative = 1.0  # of the log-normal session lengths
    classes: tuple[ClientClass, ...] = CLASSES
    group_size: Range = (5.0, 60.0)  # mean number of sessions per group
    group_zipf: NotNegative = 0.8  # exponent of the distribution of group sizes
    standing: bool = True  # whether sessions are established before the run starts
    arrivals: Literal["steady", "bursty"] = "bursty"
    swing: Share = 0.3  # relative amplitude of the arrival rate of bursty arrivals
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2  # after a failed attempt, before a longer delay
    backoff_ms: Range = (25.0, 200.0)  # delay before the first retry; doubled for each further one
    honour: ShareRange = (0.7, 1.0)  # share of the clients that wait as long as `BUSY MS` asks for
    rejoin_ms: Range = (130.0, 820.0)  # delay before a disconnected client connects again
    line_every_s: Positive = 2.0  # interval of a session's messages


class Network(Table, frozen=True):
    """One-way latencies, and connection failures."""

    same_ms: Range = (0.08, 0.34)  # within a zone
    cross_ms: Range = (0.94, 1.7)  # between zones
    client_ms: Range = (0.41, 1.1)  # between clients and proxies
    jitter: Share = 0.2  # of the latency
    connect_failures: Share = 0.0  # of the connections from proxies to servers


class Discovery(Table, frozen=True):
    """Delays with which discovery publishes changes."""

    notice_s: Range = (1.3, 4.7)  # until the end or drain of a process is published
    silent_notice_s: Range = (6.2, 14.0)  # until a machine that disappeared is published as deleted
    add_s: Range = (0.3, 2.4)  # until a new or restarted server is published


class Proxies(Table, frozen=True):
    """The proxies and their resource limits."""

    count: Count = 3
    notice_s: Range = (0.82, 3.9)  # until the load balancer stops sending clients to a dead proxy
    restart_s: Range = (0.5, 1.5)  # from a planned stop to the next start
    sockets: Count = 1024  # limit of file descriptors
    memory_mb: Count = 192


class PolicySettings(Table, frozen=True):
    """The settings of the decision policy that a scenario can change; `proxy_settings` maps them to LB_CONFIG."""

    probes: bool = True  # whether the policy may check the health of servers
    probe_price: NotNegative = 0.004  # cost of a health check, relative to serving one client
    retry_after_most_ms: NotNegative = 1000.0  # maximum retry delay of a rejection; 0 sends none
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 6  # for each request
    tells_delay: bool = True  # whether high message latencies are reported to the policy
    drain_grace_ms: Positive = 3000.0  # how long a proxy may send to a server after it was notified of the drain
    fall_multiple: Positive = 4.0  # allowed rate in slow start, as a multiple of current capacity / warm-up time
    fall_ms: Positive = 1000.0  # window in which that rate is measured


class Operators(Table, frozen=True):
    """The parts of the operators' configuration file that a scenario can set."""

    rebalance: RebalanceLimits = RebalanceLimits()


class Scenario(Table, frozen=True):
    """All that a run depends on, except the seed."""

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
        """A hash of all fields, the same in every process."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:16]
