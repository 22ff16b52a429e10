"""The configuration files of a run's proxies."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.emulator.loopback.maintenance.child_process import ChildProcess

ZONES = ("a", "b")
DRAIN_GRACE_US = 500_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ProxyFleetConfig:
    """The settings that the proxies of a run share.

    Attributes:
        folder: Where the proxies' files are written.
        membership: The membership settings; each proxy gets its own address of the engine in place of the one here.
        plan: The maintenance plan.
        sharing: The settings of shared health checks; None if each proxy does its own.
        listen: The proxies' addresses, by index.
        discovery: The discovery server's address.
    """

    folder: Path
    membership: MembershipConfig
    plan: MaintenancePlan
    sharing: SharedHealthChecksConfig | None
    listen: tuple[str, ...]
    discovery: str

    def make_proxy(self, index: int, endpoint: str, *, has_full_disk: bool) -> ChildProcess:
        """Write a proxy's configuration files and return its process, which is not started yet.

        Args:
            index: The proxy's index.
            endpoint: The engine's address for this proxy.
            has_full_disk: Whether all writes to files fail in the process.
        """
        temporary = self.folder / f"tmp-{index}"
        temporary.mkdir()
        operator_file = self.folder / f"own-{index}.toml"
        operator_file.write_bytes(msgspec.toml.encode(self._operator_settings(endpoint)))
        deployment_file = self.folder / f"n{index}.json"
        deployment_file.write_text(json.dumps(self._deployment_settings(index)))
        environment = {
            "LB_CONFIG": str(deployment_file),
            "STOATGW_CONFIG": str(operator_file),
            "TMPDIR": str(temporary),
        }
        return ChildProcess(["stoatgw"], environment, has_full_disk=has_full_disk)

    def _operator_settings(self, endpoint: str) -> dict[str, Any]:
        settings = {
            "version": 1,
            "membership": msgspec.to_builtins(msgspec.structs.replace(self.membership, endpoints=(endpoint,))),
            "maintenance": msgspec.to_builtins(self.plan),
        }
        if self.sharing is not None:
            settings["sharing"] = msgspec.to_builtins(self.sharing)
        return settings

    def _deployment_settings(self, index: int) -> dict[str, Any]:
        return {
            "name": f"n{index}",
            "listen": self.listen[index],
            "discovery": self.discovery,
            "seed": f"{index + 1:x}",
            "settings": {
                "balancers": len(self.listen),
                "rank": index,
                "areas": list(ZONES),
                "kinds": ["m1"],
                "bounds": {"max_attempts": 3, "probes": True},
                "discovery": "subscribe",
                "profiles": [
                    {"name": "chat", "deadline_us": 2_000_000, "on_time_us": 500_000, "idempotency": "retryable"}
                ],
                "report": {"via": "on_probe", "columns": ["outstanding", "x0"]},
                "rules": {
                    "drain_grace_us": DRAIN_GRACE_US,
                    "cold_from": 0.5,
                    "cold_us": 500_000,
                    "fall_multiple": 3.0,
                    "fall_us": 1_000_000,
                },
            },
        }
