"""Wires shared probing into a proxy. Loaded only where the operators' file has [membership] and [sharing]."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable

from stoatgw.config.deployment import Deployment
from stoatgw.config.membership import Membership
from stoatgw.config.sharing import Sharing
from stoatgw.membership.engine import make_engine
from stoatgw.owner.messages import Inbox
from stoatgw.sharing.agent import Agent
from stoatgw.telemetry.log import EventLog


def make_sharing(
    membership: Membership, sharing: Sharing, deployment: Deployment, owner: Inbox, log: EventLog,
    probe: Callable[[str], None], servers: Callable[[], list[str]],
) -> Agent:  # fmt: skip
    """Raises ConfigError."""
    identity = f"{deployment.name}-{secrets.token_hex(6)}"
    return Agent(membership, sharing, identity, make_engine(membership, deployment.settings.rank), owner, probe,
                 servers, lambda: time.monotonic_ns() // 1000, log, random.Random(deployment.seed))  # fmt: skip
