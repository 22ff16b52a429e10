"""Selects a proxy's optional components. A component and its dependencies are imported only where it is configured."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from stoatgw.config.deployment import Deployment
from stoatgw.controller.migrations import MigrationPlanner
from stoatgw.hot_restart import LISTEN_DESCRIPTOR_VARIABLE
from stoatgw.service.component import ServiceComponent
from stoatgw.service.core import ProxyCore

if TYPE_CHECKING:
    from stoatgw.config.operators import OperatorConfig


def create_components(core: ProxyCore, operators: OperatorConfig | None) -> list[ServiceComponent]:
    """Create the configured components, in the order in which they start.

    Raises:
        ConfigError: A component cannot run as configured.
    """
    components: list[ServiceComponent] = []
    accepts_connections = _always_accepts
    management_address = core.context.deployment.management_address
    is_replaceable = LISTEN_DESCRIPTOR_VARIABLE in os.environ or management_address is not None
    if is_replaceable and core.state_folder is not None:
        from stoatgw.service.shared_request_ids import SharedRequestIdsComponent
        from stoatgw.service.stored_endpoint_list import StoredEndpointListComponent

        components.append(StoredEndpointListComponent(core, core.state_folder))
        components.append(SharedRequestIdsComponent(core, core.state_folder))
    if LISTEN_DESCRIPTOR_VARIABLE in os.environ:
        from stoatgw.service.hot_restart import HotRestartComponent

        hot_restart = HotRestartComponent(core)
        accepts_connections = hot_restart.is_accepting
        components.append(hot_restart)
    if management_address is not None:
        from stoatgw.service.management import ManagementComponent

        components.append(ManagementComponent(core, management_address, accepts_connections))
    if operators is None or operators.membership is None:
        return components
    if operators.shared_health_checks is not None:
        from stoatgw.service.shared_health_checks import SharedHealthChecksComponent

        components.append(SharedHealthChecksComponent(core, operators.membership, operators.shared_health_checks))
    if operators.maintenance is not None:
        from stoatgw.service.maintenance import MaintenanceComponent

        components.append(MaintenanceComponent(core, operators.membership, operators.maintenance))
    return components


def create_migration_planner(deployment: Deployment, operators: OperatorConfig | None) -> MigrationPlanner | None:
    """Create the planner of the migrations that rebalance established sessions; None unless they are enabled."""
    if operators is None or not operators.rebalance.enabled:
        return None
    from stoatgw.rebalance.rebalancer import Rebalancer

    return Rebalancer(operators.rebalance, deployment.settings, deployment.seed)


def _always_accepts() -> bool:
    return True
