"""Which optional parts a proxy has. A part, and what it needs, is imported only where it is configured."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from stoatgw.config.deployment import Deployment
from stoatgw.controller.migrations import MigrationPlanner
from stoatgw.hot_restart import LISTEN_DESCRIPTOR_VARIABLE
from stoatgw.service.core import ProxyCore
from stoatgw.service.part import ServicePart

if TYPE_CHECKING:
    from stoatgw.config.operators import OperatorConfig


def create_parts(core: ProxyCore, operators: OperatorConfig | None) -> list[ServicePart]:
    """The configured parts, in the order in which they start.

    Raises:
        ConfigError: A part cannot run as configured.
    """
    parts: list[ServicePart] = []
    accepts_connections = _always_accepts
    if LISTEN_DESCRIPTOR_VARIABLE in os.environ:
        from stoatgw.service.hot_restart import HotRestartPart

        hot_restart = HotRestartPart(core)
        accepts_connections = hot_restart.is_accepting
        parts.append(hot_restart)
    management_address = core.context.deployment.management_address
    if management_address is not None:
        from stoatgw.service.management import ManagementPart

        parts.append(ManagementPart(core, management_address, accepts_connections))
    if operators is None or operators.membership is None:
        return parts
    if operators.shared_health_checks is not None:
        from stoatgw.service.shared_health_checks import SharedHealthChecksPart

        parts.append(SharedHealthChecksPart(core, operators.membership, operators.shared_health_checks))
    if operators.maintenance is not None:
        from stoatgw.service.maintenance import MaintenancePart

        parts.append(MaintenancePart(core, operators.membership, operators.maintenance))
    return parts


def create_migration_planner(deployment: Deployment, operators: OperatorConfig | None) -> MigrationPlanner | None:
    """Plans the migrations that balance established sessions, if the operators' configuration asks for them."""
    if operators is None or not operators.rebalance.enabled:
        return None
    from stoatgw.rebalance.rebalancer import Rebalancer

    return Rebalancer(operators.rebalance, deployment.settings, deployment.seed)


def _always_accepts() -> bool:
    return True
