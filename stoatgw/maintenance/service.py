"""Wires an agent into a proxy. Loaded only where the operators' file has [membership] and [maintenance]."""

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
from stoatgw.maintenance.proxy_actions import LocalProxyActions
from stoatgw.membership.client import make_client
from stoatgw.suspension.applier import SuspensionApplier
from stoatgw.suspension.overrides import EndpointOverrides


def make_maintenance_controller(
    membership: MembershipConfig,
    plan: MaintenancePlan,
    context: ProxyContext,
    director: DiscoveryClient,
    overlay: EndpointOverrides,
) -> MaintenanceController:
    """Raises ConfigError."""
    deployment = context.deployment
    owner = context.controller
    clock = context.clock
    log = context.log
    engine = make_client(membership, deployment.settings.rank)
    hands = LocalProxyActions(
        deployment, context, owner, director, SuspensionApplier(overlay, director.publisher, owner, clock, log), log
    )
    return MaintenanceController(
        membership,
        plan,
        deployment.name,
        engine,
        hands,
        os.environ.get("TMPDIR"),
        monotonic_us,
        clock.now_us,
        log,
        random.Random(deployment.seed),
        secrets.token_hex(6),
    )


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000
