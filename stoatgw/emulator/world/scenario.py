"""Scenario files: TOML into checked records. A fault in one is one line that names file and field."""

from __future__ import annotations

import hashlib
import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from stoatgw.config.errors import ConfigError
from stoatgw.config.toml import convert, file_field_names, load_toml
from stoatgw.rebalance.limits import RebalanceLimits

VERSION = 1


class ScenarioError(ValueError):
    """A scenario cannot be used; the message names the file and the field."""


Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Range = tuple[NotNegative, NotNegative]
ShareRange = tuple[Share, Share]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables: unknown fields are refused."""


class ServerKind(Table, frozen=True):
    """A kind of machine. `speed` is of a core, relative; `share` its part of the fleet."""

    name: str
    share: Share
    cores: Count = 2
    speed: Range = (1.0, 1.0)
    cold_from: ShareRange = (0.13, 0.35)
    cold_s: Range = (11.0, 24.0)


KINDS = (
    ServerKind(name="fast-2c", share=0.19, speed=(1.1, 1.5)),
    ServerKind(name="std-2c", share=0.37, speed=(0.85, 1.1)),
    ServerKind(name="slow-2c", share=0.44, speed=(0.59, 0.8)),
)


class Fleet(Table, frozen=True):
    servers: Count = 8
    zones: tuple[str, ...] = ("aarhus-1", "odense-1")
    kinds: tuple[ServerKind, ...] = KINDS
    per_core: Range = (20.0, 40.0)  # mean connections that fill a core of speed 1
    cap: Range = (1.4, 1.9)  # connections held at most, as a multiple of those that fill it
    message: ShareRange = (0.03, 0.12)  # work of a message, as a part of the shortest aim
    full_tax: ShareRange = (0.16, 0.4)  # part of its capacity that a full table takes
    group_cost: NotNegative = 1.0  # mean connections that a server pays for each group of which it holds any
    buffer_s: Range = (0.5, 3.0)  # piled-up work over which a server drops its newest connections
    setup_ms: Range = (3.1, 18.0)  # work of a set-up on a core of speed 1
    probe_ms: Range = (0.22, 0.44)
    report_ms: Range = (58.0, 450.0)  # reports are refreshed so often
    report_late_ms: Range = (23.0, 140.0)
    report_noise: ShareRange = (0.038, 0.14)
    drain_s: Range = (2.2, 5.8)  # from the first word of a drain to the machine's end


class ClientClass(Table, frozen=True):
    name: str
    share: Share
    load: Range = (1.0, 1.0)  # relative to the other classes
    worth: NotNegative = 1.0
    aim_ms: Positive = 100.0
    on_time_ms: Positive = 500.0
    deadline_ms: Positive = 2000.0
    load_sigma: NotNegative = 1.0
    swing_sigma: NotNegative = 0.4
    change_s: Range = (5.0, 20.0)
    idle: ShareRange = (0.047, 0.48)


CLASSES = (
    ClientClass(name="patient-session", share=0.75, worth=2.0, aim_ms=100.0),
    ClientClass(name="clinic-view", share=0.25, load=(4.0, 8.0), worth=1.0, aim_ms=250.0),
)


class Clients(Table, frozen=True):
    load: Positive = 0.35  # mean load asked for, as a part of what the whole warm fleet can do
    life_s: Range = (26.0, 200.0)  # range of the day's mean life
    life_sigma: NotNegative = 1.0
    classes: tuple[ClientClass, ...] = CLASSES
    group_size: Range = (5.0, 60.0)
    group_zipf: NotNegative = 0.8
    standing: bool = True  # whether connections stand at the start
    arrivals: Literal["steady", "bursty"] = "bursty"
    swing: Share = 0.3  # how far the rate of arrivals goes up and down
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    backoff_ms: Range = (25.0, 200.0)
    honour: ShareRange = (0.7, 1.0)  # part of the clients that heed `BUSY MS`
    rejoin_ms: Range = (130.0, 820.0)
    line_every_s: Positive = 2.0


class Network(Table, frozen=True):
    same_ms: Range = (0.08, 0.34)
    cross_ms: Range = (0.94, 1.7)
    client_ms: Range = (0.41, 1.1)
    jitter: Share = 0.2
    connect_failures: Share = 0.0


class Discovery(Table, frozen=True):
    notice_s: Range = (1.3, 4.7)  # a process's end or drain is told so late
    silent_notice_s: Range = (6.2, 14.0)  # and a machine that vanished
    add_s: Range = (0.3, 2.4)


class Proxies(Table, frozen=True):
    count: Count = 3
    notice_s: Range = (0.82, 3.9)  # the front notices a dead proxy so late
    restart_s: Range = (0.5, 1.5)  # from a planned end to the next start
    sockets: Count = 1024
    memory_mb: Count = 192


class Module(Table, frozen=True):
    """What the proxies are told of the rules and what they may do."""

    probes: bool = True
    probe_price: NotNegative = 0.004
    retry_after_most_ms: NotNegative = 1000.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 6
    tells_delay: bool = True
    drain_grace_ms: Positive = 3000.0
    fall_multiple: Positive = 4.0
    fall_ms: Positive = 1000.0


class Operators(Table, frozen=True):
    """What of the operators' own file a scenario sets."""

    rebalance: RebalanceLimits = RebalanceLimits()


class Fault(Table, frozen=True, tag_field="kind", tag=lambda name: re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()):
    """Base of the faults: each begins at `at_s`."""

    at_s: NotNegative


class Pauses(Fault, frozen=True):
    """A part of the servers stands still again and again."""

    for_s: Positive
    part: Share = 0.44
    pause_ms: Range = (120.0, 300.0)
    every_s: Range = (1.5, 2.9)


class Shrink(Fault, frozen=True):
    """The fleet drains down to a part of its size, over a time."""

    to: Share = 0.38
    over_s: NotNegative = 10.0


class Grow(Fault, frozen=True):
    """Servers come, cold: as many as the fleet then lacks of its first size, times `to`."""

    to: Positive = 1.0
    over_s: NotNegative = 5.0


class Drop(Fault, frozen=True):
    """A part of the clients drops and comes again within a time."""

    part: Share = 0.56
    within_s: Positive = 0.44


class Rush(Fault, frozen=True):
    """So many times the usual arrivals, for a time."""

    for_s: Positive
    times: Positive = 3.0


class RestartProxies(Fault, frozen=True):
    """Planned restarts by SIGTERM, one after the other."""

    every_s: Positive = 4.0


class KillProxy(Fault, frozen=True):
    proxy: Annotated[int, msgspec.Meta(ge=0)]
    back_s: NotNegative = 1.0


class FreezeProxy(Fault, frozen=True):
    proxy: Annotated[int, msgspec.Meta(ge=0)]
    for_s: Positive = 2.0


class KillServer(Fault, frozen=True):
    """The process dies and starts again, cold."""

    server: Annotated[int, msgspec.Meta(ge=0)]
    back_s: NotNegative = 2.0


class VanishServer(Fault, frozen=True):
    """The machine is gone without a word."""

    server: Annotated[int, msgspec.Meta(ge=0)]


class ResettingServer(Fault, frozen=True):
    """A server that resets whoever connects, though its probes answer."""

    server: Annotated[int, msgspec.Meta(ge=0)]
    for_s: Positive = 10.0


class StaleReports(Fault, frozen=True):
    """Reports are not refreshed for a time, at a part of the servers."""

    for_s: Positive
    part: Share = 1.0


class SilentDiscovery(Fault, frozen=True):
    """Discovery has nothing to say for a time; what happened meanwhile is told afterwards."""

    for_s: Positive


class GarbledDiscovery(Fault, frozen=True):
    """The list is told anew as a whole, twice over, and out of order with the changes."""


class CutZones(Fault, frozen=True):
    """Nothing passes between two zones for a time."""

    for_s: Positive


AnyFault = (
    Pauses
    | Shrink
    | Grow
    | Drop
    | Rush
    | RestartProxies
    | KillProxy
    | FreezeProxy
    | KillServer
    | VanishServer
    | ResettingServer
    | StaleReports
    | SilentDiscovery
    | GarbledDiscovery
    | CutZones
)


class Scenario(Table, frozen=True):
    version: Literal[1]
    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,40}$")]
    about: str = ""
    length_s: Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)] = 60.0
    fleet: Fleet = Fleet()
    clients: Clients = Clients()
    network: Network = Network()
    discovery: Discovery = Discovery()
    proxies: Proxies = Proxies()
    module: Module = Module()
    operators: Operators = Operators()
    faults: tuple[AnyFault, ...] = ()

    @property
    def digest(self) -> str:
        """A digest of all that a run depends on but the seed."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:16]


def load_scenario(path: Path, changes: tuple[str, ...] = ()) -> Scenario:
    """Read a scenario file; `changes` are PATH=VALUE, with VALUE as TOML writes it.

    Raises ScenarioError with one line that names the file and the field.
    """
    try:
        data = load_toml(path)
    except ConfigError as fault:
        raise ScenarioError(str(fault)) from None
    for change in changes:
        _set(data, change)
    return parse_scenario(data, str(path))


def parse_scenario(data: dict[str, Any], source: str) -> Scenario:
    names = file_field_names([*_tables(), RebalanceLimits])
    try:
        scenario = convert(data, Scenario, source, names)
    except ConfigError as fault:
        raise ScenarioError(str(fault)) from None
    for field, why in _cross_checks(scenario):
        raise ScenarioError(f"{source}: {field}: {why}")
    return scenario


def _tables() -> list[type[Table]]:
    found: list[type[Table]] = [Table]
    for table in found:
        found.extend(table.__subclasses__())
    return found


def _set(data: dict[str, Any], change: str) -> None:
    path, found, text = change.partition("=")
    names = path.strip().split(".")
    if not found or not all(names):
        raise ScenarioError(f"--set {change[:80]}: not PATH=VALUE")
    try:
        value = tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        value = text
    table: Any = data
    for name in names[:-1]:
        if isinstance(table, list) and name.isdigit() and int(name) < len(table):
            table = table[int(name)]
        elif isinstance(table, dict):
            table = table.setdefault(name, {})
        else:
            raise ScenarioError(f"--set {path}: no such field")
    if isinstance(table, list) and names[-1].isdigit() and int(names[-1]) < len(table):
        table[int(names[-1])] = value
    elif isinstance(table, dict):
        table[names[-1]] = value
    else:
        raise ScenarioError(f"--set {path}: no such field")


def _cross_checks(scenario: Scenario) -> list[tuple[str, str]]:
    """What no single field can tell: each as (field, why)."""
    faults: list[tuple[str, str]] = []
    for at, table in (
        ("fleet", scenario.fleet),
        ("clients", scenario.clients),
        ("network", scenario.network),
        ("discovery", scenario.discovery),
        ("proxies", scenario.proxies),
    ):
        faults += _ranges(at, table)
    for index, kind in enumerate(scenario.fleet.kinds):
        faults += _ranges(f"fleet.kinds.{index}", kind)
    for index, each in enumerate(scenario.clients.classes):
        faults += _ranges(f"clients.classes.{index}", each)
        if each.on_time_ms > each.deadline_ms:
            faults.append((f"clients.classes.{index}.on_time_ms", "is over deadline_ms"))
    for field, total in (
        ("fleet.kinds", sum(kind.share for kind in scenario.fleet.kinds)),
        ("clients.classes", sum(each.share for each in scenario.clients.classes)),
    ):
        if abs(total - 1.0) > 0.01:
            faults.append((field, f"the shares add up to {total:.3f}, not 1"))
    if not scenario.fleet.zones or len(set(scenario.fleet.zones)) != len(scenario.fleet.zones):
        faults.append(("fleet.zones", "is empty, or names a zone twice"))
    servers = scenario.fleet.servers
    for index, fault in enumerate(scenario.faults):
        at = f"faults.{index}"
        faults += _ranges(at, fault)
        if fault.at_s >= scenario.length_s:
            faults.append((f"{at}.at_s", f"is not before the end at {scenario.length_s:g} s"))
        number = getattr(fault, "server", None)
        if number is not None and number >= servers:
            faults.append((f"{at}.server", f"there is no server {number}, only 0 to {servers - 1}"))
        number = getattr(fault, "proxy", None)
        if number is not None and number >= scenario.proxies.count:
            faults.append((f"{at}.proxy", f"there is no proxy {number}, only 0 to {scenario.proxies.count - 1}"))
        if isinstance(fault, CutZones) and len(scenario.fleet.zones) < 2:
            faults.append((f"{at}.kind", "there is one zone only"))
    return faults


def _ranges(at: str, table: Table) -> list[tuple[str, str]]:
    found = []
    for name in table.__struct_fields__:
        value = getattr(table, name)
        if (
            isinstance(value, tuple)
            and len(value) == 2
            and all(isinstance(each, int | float) for each in value)
            and value[0] > value[1]
        ):
            found.append((f"{at}.{name}", f"the range runs from {value[0]:g} down to {value[1]:g}"))
    return found
