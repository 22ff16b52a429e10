"""Planned maintenance as an optional component of the proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import cached_property

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.maintenance.controller import MaintenanceController
from stoatgw.maintenance.service import make_maintenance_controller
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore


class MaintenanceComponent(ServiceComponent):
    """Participates in the maintenance that the proxies of a fleet coordinate."""

    def __init__(self, core: ProxyCore, membership: MembershipConfig, plan: MaintenancePlan) -> None:
        """Prepare the component; `restore` builds the maintenance controller."""
        self._core = core
        self._membership = membership
        self._plan = plan
        self._release_task: asyncio.Task[None] | None = None

    @cached_property
    def _controller(self) -> MaintenanceController:
        core = self._core
        return make_maintenance_controller(self._membership, self._plan, core.context, core.discovery, core.overrides)

    def restore(self) -> None:
        """Restore the suspensions of a maintenance, as an earlier process of this proxy stored them.

        Raises:
            ConfigError: The coordination engine cannot be reached as configured.
        """
        self._controller.start()

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """Return the task of the maintenance controller."""
        return (self._controller.run,)

    def begin_shutdown(self) -> None:
        """Start to revoke this proxy's leases, so that the other proxies need not wait for them to expire."""
        self._release_task = asyncio.get_running_loop().create_task(self._controller.stop())

    def stop(self) -> None:
        """Stop revoking leases; those that could not be revoked in time expire."""
        if self._release_task is not None:
            self._release_task.cancel()
