"""The operators' file (TOML): settings of this project that the platform's LB_CONFIG does not have.

The file is optional; without it a proxy does not import this module. Every field but `version` has a default that
keeps the behaviour without a file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.config.toml import convert, file_field_names, load_toml
from stoatgw.rebalance.limits import RebalanceLimits


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The tables of the operators' file.

    Attributes:
        version: The format's version.
        rebalance: Limits of the migrations that rebalance load.
        membership: The coordination engine; with None the proxies do not coordinate.
        maintenance: A rolling maintenance; requires `membership`.
        shared_health_checks: Health checks shared among the proxies, `[sharing]` in the file; requires `membership`.
    """

    version: Literal[1]
    rebalance: RebalanceLimits = RebalanceLimits()
    membership: MembershipConfig | None = None
    maintenance: MaintenancePlan | None = None
    shared_health_checks: SharedHealthChecksConfig | None = msgspec.field(default=None, name="sharing")

    def __post_init__(self) -> None:
        if self.maintenance is not None and self.membership is None:
            raise ValueError("membership: missing, but maintenance needs a coordination engine")
        if self.shared_health_checks is None:
            return
        if self.membership is None:
            raise ValueError("membership: missing, but sharing needs a coordination engine")
        # A published result is up to two polls old when it is read, and its age may be overestimated by one poll.
        min_takeover_delay_ms = self.shared_health_checks.check_interval_ms + 3 * self.membership.poll_interval_ms
        if self.shared_health_checks.takeover_delay_ms < min_takeover_delay_ms:
            raise ValueError(
                "sharing.stale_ms: under probe_ms plus three times look_ms: each proxy would take over all"
            )


def load_operator_config(path: str) -> OperatorConfig:
    """Read and validate the operators' file.

    Raises:
        ConfigError: The file cannot be read, is not TOML, or contains an invalid value.
    """
    tables = (OperatorConfig, RebalanceLimits, MembershipConfig, MaintenancePlan, SharedHealthChecksConfig)
    return convert(load_toml(Path(path)), OperatorConfig, path, file_field_names(tables))
