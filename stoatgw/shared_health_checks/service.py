"""Wires shared probing into a proxy. Loaded only where the operators' file has [membership] and [sharing]."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable

from stoatgw.config.deployment import Deployment
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.controller.messages import MessageQueue
from stoatgw.membership.client import make_client
from stoatgw.shared_health_checks.checker import SharedHealthChecker
from stoatgw.telemetry.log import EventLog


def make_shared_health_checker(
    membership: MembershipConfig,
    sharing: SharedHealthChecksConfig,
    deployment: Deployment,
    owner: MessageQueue,
    log: EventLog,
    probe: Callable[[str], None],
    servers: Callable[[], list[str]],
) -> SharedHealthChecker:
    """Raises ConfigError."""
    identity = f"{deployment.name}-{secrets.token_hex(6)}"
    return SharedHealthChecker(
        membership,
        sharing,
        identity,
        make_client(membership, deployment.settings.rank),
        owner,
        probe,
        servers,
        lambda: time.monotonic_ns() // 1000,
        log,
        random.Random(deployment.seed),
    )
