"""Wires an agent into a proxy. Loaded only where the operators' file has [membership] and [maintenance]."""

from __future__ import annotations

import os
import random
import secrets
import time

from stoatgw.clients.context import ProxyContext
from stoatgw.config.deployment import Deployment
from stoatgw.config.maintenance import Plan
from stoatgw.config.membership import Membership
from stoatgw.director.director import Director
from stoatgw.maintenance.agent import Agent
from stoatgw.maintenance.hands import ProxyHands
from stoatgw.membership.engine import make_engine
from stoatgw.owner.clock import Clock
from stoatgw.owner.owner import Owner
from stoatgw.suspension.outs import Outs
from stoatgw.suspension.overlay import Overlay
from stoatgw.telemetry.log import EventLog


def make_agent(
    membership: Membership, plan: Plan, deployment: Deployment, context: ProxyContext, owner: Owner, director: Director,
    overlay: Overlay, clock: Clock, log: EventLog,
) -> Agent:  # fmt: skip
    """Raises ConfigError."""
    engine = make_engine(membership, deployment.settings.rank)
    hands = ProxyHands(deployment, context, owner, director, Outs(overlay, director, owner, clock, log), log)
    return Agent(membership, plan, deployment.name, engine, hands, os.environ.get("TMPDIR"), monotonic_us,
                 clock.now_us, log, random.Random(deployment.seed), secrets.token_hex(6))  # fmt: skip


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000
