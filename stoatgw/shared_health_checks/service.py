"""Creates a proxy's shared health checker. Imported only if the operators' file has [membership] and [sharing]."""

from __future__ import annotations

import random
import secrets
import time

from stoatgw.config.deployment import Deployment
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.membership.client import make_client
from stoatgw.shared_health_checks.checker import ProxyHooks, SharedHealthChecker, SharedHealthCheckSettings
from stoatgw.telemetry.log import EventLog


def make_shared_health_checker(
    membership: MembershipConfig,
    sharing: SharedHealthChecksConfig,
    deployment: Deployment,
    hooks: ProxyHooks,
    log: EventLog,
) -> SharedHealthChecker:
    """Make the shared health checker of a proxy.

    Raises:
        ConfigError: The membership settings are invalid.
    """
    identity = f"{deployment.name}-{secrets.token_hex(6)}"
    return SharedHealthChecker(
        SharedHealthCheckSettings(membership=membership, sharing=sharing, identity=identity),
        store=make_client(membership, deployment.settings.rank),
        hooks=hooks,
        now_us=lambda: time.monotonic_ns() // 1000,
        log=log,
        jitter=random.Random(deployment.seed),
    )
