"""SIGHUP: the platform's configuration read anew."""

from __future__ import annotations

from dataclasses import replace

from stoatgw.config.deployment import Deployment, load_deployment
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

MAX_LOGGED_ERROR_CHARS = 200


class ConfigReloader:
    """Takes over discovery's address; whatever else has changed needs a restart, which is logged."""

    def __init__(
        self, path: str, deployment: Deployment, discovery: DiscoveryClient, log: EventLog, counters: Counters
    ) -> None:
        """Prepare to reload.

        Args:
            path: The file with the configuration.
            deployment: The configuration that the process runs by.
            discovery: Gets the new address.
            log: Gets an event for each reload.
            counters: Counts reloads and rejected files.
        """
        self._path = path
        self._deployment = deployment
        self._discovery = discovery
        self._log = log
        self._counters = counters

    def reload(self) -> None:
        """Read the file; one that cannot be used is logged and changes nothing."""
        self._counters.add("configuration_reloads")
        try:
            loaded = load_deployment(self._path)
        except Exception as error:  # guards against a half-written file: what runs stays as it is
            self._counters.add("configuration_rejections")
            self._log.event("configuration_rejected", error=str(error)[:MAX_LOGGED_ERROR_CHARS])
            return
        self._log.event(
            "configuration_reloaded",
            discovery=str(loaded.discovery_address),
            restart_needed=self._needs_restart(loaded),
        )
        self._discovery.change_address(loaded.discovery_address)

    def _needs_restart(self, loaded: Deployment) -> bool:
        """Whether anything differs but what each file brings anew and what a reload takes over."""
        comparable = replace(
            loaded,
            discovery_address=self._deployment.discovery_address,
            seed=self._deployment.seed,
            initial_endpoints=self._deployment.initial_endpoints,
        )
        return comparable != self._deployment
