"""Settings and clocks of a maintenance controller."""

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
        incarnation: Differs for each process, so that two processes with one name are different lease holders,
            whether they run at the same time or one starts after a crash of the other.
        state_directory: Where the rollout state is persisted; with None or "" it is not.
    """

    membership: MembershipConfig
    plan: MaintenancePlan
    proxy_name: str
    incarnation: str
    state_directory: str | None

    @property
    def identity(self) -> str:
        """Identifies this process at the coordination engine."""
        return f"{self.proxy_name}-{self.incarnation}"

    @property
    def keys(self) -> MaintenanceKeys:
        """The plan's keys at the coordination engine."""
        return MaintenanceKeys(self.membership.scope, self.plan.name)


@dataclass(frozen=True, slots=True, kw_only=True)
class Clocks:
    """Clocks in microseconds. Unix time is for display and for this process's start; it measures no durations."""

    monotonic_us: Callable[[], int]
    unix_us: Callable[[], int]
