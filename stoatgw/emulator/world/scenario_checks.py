"""Checks of a scenario that the types of its fields cannot express."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scenario_faults import AnyFault, CutZones
from stoatgw.emulator.world.scenario_types import Table

MAX_SHARE_SUM_ERROR = 0.01


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid field: its path in the file, and the reason."""

    field: str
    reason: str


def find_problems(scenario: Scenario) -> Iterator[Problem]:
    """Find the invalid and contradictory fields of a scenario, in the order of its tables."""
    yield from _check_ranges("fleet", scenario.fleet)
    yield from _check_ranges("clients", scenario.clients)
    yield from _check_ranges("network", scenario.network)
    yield from _check_ranges("discovery", scenario.discovery)
    yield from _check_ranges("proxies", scenario.proxies)
    for index, kind in enumerate(scenario.fleet.kinds):
        yield from _check_ranges(f"fleet.kinds.{index}", kind)
    for index, client_class in enumerate(scenario.clients.classes):
        yield from _check_ranges(f"clients.classes.{index}", client_class)
        if client_class.on_time_ms > client_class.deadline_ms:
            yield Problem(f"clients.classes.{index}.on_time_ms", "is greater than deadline_ms")
    yield from _check_share_sum("fleet.kinds", sum(kind.share for kind in scenario.fleet.kinds))
    yield from _check_share_sum("clients.classes", sum(each.share for each in scenario.clients.classes))
    if not scenario.fleet.zones or len(set(scenario.fleet.zones)) != len(scenario.fleet.zones):
        yield Problem("fleet.zones", "is empty, or contains a zone twice")
    for index, fault in enumerate(scenario.faults):
        yield from _check_fault(f"faults.{index}", fault, scenario)


def _check_share_sum(field: str, total: float) -> Iterator[Problem]:
    if abs(total - 1.0) > MAX_SHARE_SUM_ERROR:
        yield Problem(field, f"the shares add up to {total:.3f}, not 1")


def _check_fault(field: str, fault: AnyFault, scenario: Scenario) -> Iterator[Problem]:
    yield from _check_ranges(field, fault)
    if fault.at_s >= scenario.length_s:
        yield Problem(f"{field}.at_s", f"is not before the end of the run at {scenario.length_s:g} s")
    yield from _check_index(field, "server", fault, scenario.fleet.servers)
    yield from _check_index(field, "proxy", fault, scenario.proxies.count)
    if isinstance(fault, CutZones) and len(scenario.fleet.zones) < 2:
        yield Problem(f"{field}.kind", "requires at least two zones")


def _check_index(field: str, name: str, fault: AnyFault, count: int) -> Iterator[Problem]:
    """Check that a fault's `server` or `proxy`, if it has one, exists."""
    number = getattr(fault, name, None)
    if number is not None and number >= count:
        yield Problem(f"{field}.{name}", f"there is no {name} {number}, only 0 to {count - 1}")


def _check_ranges(field: str, table: Table) -> Iterator[Problem]:
    for name in table.__struct_fields__:
        value = getattr(table, name)
        is_range = isinstance(value, tuple) and len(value) == 2 and all(isinstance(each, int | float) for each in value)
        if is_range and value[0] > value[1]:
            yield Problem(f"{field}.{name}", f"the range runs from {value[0]:g} down to {value[1]:g}")
