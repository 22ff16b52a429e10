"""What a maintenance controller is made with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.maintenance.keys import MaintenanceKeys


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceSettings:
    """The operators' settings and this proxy's identity.

    Attributes:
        membership: The engine and its leases.
        plan: The plan to carry out.
        proxy_name: This proxy's name.
        incarnation: Differs for each process, so that a name used twice, or again after a crash, is not taken for
            one lease holder.
        state_directory: Where the rollout state is persisted; None or "": nowhere.
    """

    membership: MembershipConfig
    plan: MaintenancePlan
    proxy_name: str
    incarnation: str
    state_directory: str | None

    @property
    def identity(self) -> str:
        """Names this process at the engine."""
        return f"{self.proxy_name}-{self.incarnation}"

    @property
    def keys(self) -> MaintenanceKeys:
        """The engine's keys of the plan."""
        return MaintenanceKeys(self.membership.scope, self.plan.name)


@dataclass(frozen=True, slots=True, kw_only=True)
class Clocks:
    """Clocks in microseconds. Unix time marks times for people and this process's start; it measures nothing."""

    monotonic_us: Callable[[], int]
    unix_us: Callable[[], int]
