"""Creates a proxy's maintenance controller.

Imported only if the operators' file has [membership] and [maintenance].
"""

from __future__ import annotations

import os
import random
import secrets
import time

from stoatgw.clients.context import ProxyContext
from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.maintenance.controller import MaintenanceController
from stoatgw.maintenance.local_proxy_actions import LocalProxyActions
from stoatgw.maintenance.settings import Clocks, MaintenanceSettings
from stoatgw.membership.client import make_client
from stoatgw.suspension.applier import SuspensionApplier
from stoatgw.suspension.overrides import EndpointOverrides


def make_maintenance_controller(
    membership: MembershipConfig,
    plan: MaintenancePlan,
    context: ProxyContext,
    discovery: DiscoveryClient,
    overrides: EndpointOverrides,
) -> MaintenanceController:
    """Make the maintenance controller of a proxy.

    Raises:
        ConfigError: The membership settings are invalid.
    """
    deployment = context.deployment
    settings = MaintenanceSettings(
        membership=membership,
        plan=plan,
        proxy_name=deployment.name,
        incarnation=secrets.token_hex(6),
        state_directory=os.environ.get("TMPDIR"),
    )
    suspensions = SuspensionApplier(overrides, discovery.publisher, context.controller, context.clock, context.log)
    return MaintenanceController(
        settings,
        store=make_client(membership, deployment.settings.rank),
        actions=LocalProxyActions(context, discovery.publisher, suspensions),
        clocks=Clocks(monotonic_us=lambda: time.monotonic_ns() // 1000, unix_us=context.clock.now_us),
        log=context.log,
        jitter=random.Random(deployment.seed),
    )
