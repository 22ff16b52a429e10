"""Reloads the platform's configuration on SIGHUP."""

from __future__ import annotations

from dataclasses import replace

from stoatgw.config.deployment import Deployment, load_deployment
from stoatgw.discovery.client import DiscoveryClient
from stoatgw.telemetry.counters import Counters
from stoatgw.telemetry.log import EventLog

MAX_LOGGED_ERROR_CHARS = 200


class ConfigReloader:
    """Applies a changed discovery address; any other change needs a restart, which is logged."""

    def __init__(
        self, path: str, deployment: Deployment, discovery: DiscoveryClient, log: EventLog, counters: Counters
    ) -> None:
        """Prepare to reload.

        Args:
            path: The file with the configuration.
            deployment: The configuration that the process started with.
            discovery: Switches to the new address.
            log: Receives an event for each reload.
            counters: Counts reloads and rejected files.
        """
        self._path = path
        self._deployment = deployment
        self._discovery = discovery
        self._log = log
        self._counters = counters

    def reload(self) -> None:
        """Read the file; a file that cannot be used is logged and changes nothing."""
        self._counters.add("configuration_reloads")
        try:
            loaded = load_deployment(self._path)
        except Exception as error:  # such as a half-written file: the running configuration stays in effect
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
        """Return whether a setting differs that a reload neither applies nor expects to differ in every file."""
        comparable = replace(
            loaded,
            discovery_address=self._deployment.discovery_address,
            seed=self._deployment.seed,
            initial_endpoints=self._deployment.initial_endpoints,
        )
        return comparable != self._deployment
