"""Places the sessions that are established before the run starts."""

from __future__ import annotations

import heapq
from collections.abc import Mapping

import numpy as np

from stoatgw.emulator.world.population import Population
from stoatgw.emulator.world.server_model import ServerModel

GROUP_RUN_LENGTH = 6  # consecutive connections of a group that are placed on one server


def place_initial_sessions(population: Population, servers: Mapping[str, ServerModel], group_cost: float) -> list[str]:
    """Return a server for each established client, balanced by utilization and with groups kept together.

    Connections of a group are placed in runs of GROUP_RUN_LENGTH, each on the server with the lowest utilization.
    """
    by_group = np.argsort(population.group[: population.established_count], kind="stable").tolist()
    load_units = dict.fromkeys(servers, 0.0)
    heap = [(0.0, name) for name in servers]  # utilization and server name
    heapq.heapify(heap)
    placements = [""] * population.established_count
    server_name = ""
    previous_group = -1
    run_length = 0
    for index in by_group:
        group = int(population.group[index])
        if group != previous_group or run_length == GROUP_RUN_LENGTH:
            if server_name:
                capacity_units = servers[server_name].properties.capacity_units
                heapq.heappush(heap, (load_units[server_name] / capacity_units, server_name))
            _, server_name = heapq.heappop(heap)
            load_units[server_name] += group_cost
            previous_group = group
            run_length = 0
        placements[index] = server_name
        load_units[server_name] += float(population.load_units[index])
        run_length += 1
    return placements
