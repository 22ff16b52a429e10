"""The measurements of `stoatgw lab bench`, as lines of text and a table."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import numpy as np

from stoatgw.lab.bench.endpoints import set_descriptor_limit
from stoatgw.lab.bench.load import Workload
from stoatgw.lab.bench.proxy_config import descriptors_for
from stoatgw.lab.bench.rig import BenchRig, Target
from stoatgw.lab.compare import confidence_interval
from stoatgw.lab.errors import LabError
from stoatgw.lab.tables import Value, write_csv

MIN_CORES = 3
LINE_CLIENTS = 64


def measure(seconds: float, rounds: int, clients: int, sessions: int, out: Path | None) -> Iterator[str]:
    """Measure proxy and relay; yield lines of text, and write the table to `out` unless it is None.

    Args:
        seconds: Duration of each round.
        rounds: Pairs of rounds of proxy and relay; the order alternates.
        clients: Concurrent clients that set up sessions.
        sessions: Number of sessions held to measure memory and descriptors.
        out: The table's file (CSV).

    Raises:
        LabError: Too few cores are available, or a process did not start or send its result in time.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < MIN_CORES:
        raise LabError("bench: needs three cores, one of them for the proxy only")
    set_descriptor_limit(descriptors_for(sessions))
    rows: list[dict[str, Value]] = []
    with BenchRig(cores, sessions) as rig:
        for workload, concurrent in ((Workload.SETUPS, clients), (Workload.LINES, LINE_CLIENTS)):
            rows.append(_measure_rates(rig, workload, concurrent, seconds, rounds))
            yield _format_row(rows[-1])
        for target in Target:
            rows.append(_measure_footprint(rig, target, sessions))
            yield _format_row(rows[-1])
    if out is not None:
        columns = list(dict.fromkeys(name for row in rows for name in row))
        write_csv(out, [{name: row.get(name) for name in columns} for row in rows])


def _measure_rates(rig: BenchRig, workload: Workload, clients: int, seconds: float, rounds: int) -> dict[str, Value]:
    """Return the table row of one workload: rates of proxy and relay, and their ratio with its interval."""
    pairs = []
    for round_number in range(rounds):
        order = [Target.PROXY, Target.RELAY]
        if round_number % 2 == 1:
            order.reverse()
        rates = {target: rig.measure_rate(target, workload, clients, seconds) for target in order}
        pairs.append((rates[Target.PROXY], rates[Target.RELAY]))
    proxy_rates, relay_rates = np.array(pairs).T
    ratios = proxy_rates / relay_rates
    low, high = confidence_interval(ratios)
    return {
        "what": f"{workload.value} a second",
        "proxy": round(float(np.median(proxy_rates)), 1),
        "relay": round(float(np.median(relay_rates)), 1),
        "ratio": round(float(np.mean(ratios)), 4),
        "low": round(low, 4),
        "high": round(high, 4),
        "rounds": rounds,
    }


def _measure_footprint(rig: BenchRig, target: Target, sessions: int) -> dict[str, Value]:
    footprint = rig.measure_footprint(target, sessions)
    return {
        "what": f"{target.value}: each standing connection",
        "kib": round(footprint.kib, 2),
        "descriptors": round(footprint.descriptors, 3),
        "connections": footprint.sessions,
        "idle_mib": round(footprint.idle_mib, 2),
    }


def _format_row(row: dict[str, Value]) -> str:
    first, *others = row.items()
    return f"{first[1]}: " + ", ".join(f"{name} {value}" for name, value in others)
