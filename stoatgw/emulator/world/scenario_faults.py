"""The fault tables of a scenario: which faults a run has, and when."""

from __future__ import annotations

import re

from stoatgw.emulator.world.scenario_types import Index, NotNegative, Positive, Range, Share, Table


def fault_kind(class_name: str) -> str:
    """Return a fault's kind in scenario files and event logs, such as `kill_server` for `KillServer`."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", class_name).lower()


class Fault(Table, frozen=True, tag_field="kind", tag=fault_kind):
    """Base class of the faults; each begins `at_s` seconds after the start of the run."""

    at_s: NotNegative


class Pauses(Fault, frozen=True):
    """A share of the servers pauses repeatedly."""

    for_s: Positive
    part: Share = 0.44  # share of the serving servers
    pause_ms: Range = (120.0, 300.0)  # duration of each pause
    every_s: Range = (1.5, 2.9)  # from the start of a server's pause to the start of its next one


class Shrink(Fault, frozen=True):
    """Servers are drained, spread over `over_s` seconds, until a share `to` of the serving ones remains."""

    to: Share = 0.38
    over_s: NotNegative = 10.0


class Grow(Fault, frozen=True):
    """Servers are added in slow start, over `over_s` seconds, until the fleet has `to` times its initial size."""

    to: Positive = 1.0
    over_s: NotNegative = 5.0


class Drop(Fault, frozen=True):
    """A share of the clients with sessions disconnects; each reconnects within `within_s` seconds."""

    part: Share = 0.56  # of the clients with sessions
    within_s: Positive = 0.44


class Rush(Fault, frozen=True):
    """The arrival rate is multiplied by `times` for `for_s` seconds."""

    for_s: Positive
    times: Positive = 3.0


class RestartProxies(Fault, frozen=True):
    """All proxies are restarted by SIGTERM, one after the other."""

    every_s: Positive = 4.0  # from the restart of one proxy to that of the next


class KillProxy(Fault, frozen=True):
    """A proxy is killed and restarts after `back_s` seconds."""

    proxy: Index
    back_s: NotNegative = 1.0


class FreezeProxy(Fault, frozen=True):
    """A proxy is stopped by SIGSTOP for `for_s` seconds."""

    proxy: Index
    for_s: Positive = 2.0


class KillServer(Fault, frozen=True):
    """A server process is killed and restarts after `back_s` seconds, in slow start."""

    server: Index
    back_s: NotNegative = 2.0


class VanishServer(Fault, frozen=True):
    """A server's machine disappears from the network without closing its connections."""

    server: Index


class ResettingServer(Fault, frozen=True):
    """A server resets new sessions, though its health checks succeed."""

    server: Index
    for_s: Positive = 10.0


class StaleReports(Fault, frozen=True):
    """A share of the servers does not refresh its load reports for `for_s` seconds."""

    for_s: Positive
    part: Share = 1.0  # share of the serving servers


class SilentDiscovery(Fault, frozen=True):
    """Discovery sends nothing for `for_s` seconds; it publishes the pending changes afterwards."""

    for_s: Positive


class GarbledDiscovery(Fault, frozen=True):
    """Discovery's streams send malformed data and end; full snapshots follow."""


class CutZones(Fault, frozen=True):
    """Zones cannot reach each other for `for_s` seconds."""

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
