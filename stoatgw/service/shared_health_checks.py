"""Health checks shared among the proxies, as an optional component of the proxy."""

from __future__ import annotations

from collections.abc import Sequence

from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore
from stoatgw.shared_health_checks.checker import ProxyHooks
from stoatgw.shared_health_checks.service import make_shared_health_checker


class SharedHealthChecksComponent(ServiceComponent):
    """Runs this proxy's share of the health checks, and adopts the results of other proxies."""

    def __init__(self, core: ProxyCore, membership: MembershipConfig, sharing: SharedHealthChecksConfig) -> None:
        """Prepare the component.

        Raises:
            ConfigError: The coordination engine cannot be reached as configured.
        """
        self._core = core
        hooks = ProxyHooks(
            queue=core.context.controller,
            start_check=core.gateway.check_health_now,
            list_servers=core.gateway.endpoint_names,
        )
        self._checker = make_shared_health_checker(
            membership, sharing, core.context.deployment, hooks, core.context.log
        )

    def attach(self) -> None:
        """Put the shared checker between the controller and the proxy's own health checks."""
        self._core.health_check_results.redirect(self._checker)
        self._core.gateway.redirect_health_checks(self._checker.request_health_check)

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """Return the task of the shared checker."""
        return (self._checker.run,)
