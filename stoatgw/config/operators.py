"""The operators' own file (TOML): all that is ours and not the platform's. With none, nothing of it is loaded.

Every field has a default that leaves the program as it is without a file.
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
        rebalance: Limits of migrations towards balance.
        membership: The coordination store; None runs each proxy for itself.
        maintenance: A rolling maintenance; needs `membership`.
        shared_health_checks: Health checks shared among the proxies, `[sharing]` in the file; needs `membership`.
    """

    version: Literal[1]
    rebalance: RebalanceLimits = RebalanceLimits()
    membership: MembershipConfig | None = None
    maintenance: MaintenancePlan | None = None
    shared_health_checks: SharedHealthChecksConfig | None = msgspec.field(default=None, name="sharing")

    def __post_init__(self) -> None:
        if self.maintenance is not None and self.membership is None:
            raise ValueError("membership: missing, and maintenance needs an engine to settle its order by")
        if self.shared_health_checks is None:
            return
        if self.membership is None:
            raise ValueError("membership: missing, and sharing needs an engine to publish by")
        # A published result is up to two polls old when it is read, and may count as one poll older than it is.
        least_stale_ms = self.shared_health_checks.check_interval_ms + 3 * self.membership.poll_interval_ms
        if self.shared_health_checks.takeover_delay_ms < least_stale_ms:
            raise ValueError("sharing.stale_ms: under probe_ms and three times look_ms: all would always stand in")


def load_operator_config(path: str) -> OperatorConfig:
    """Read and check the operators' file.

    Raises:
        ConfigError: The file cannot be read, is no TOML, or holds what cannot be used.
    """
    tables = (OperatorConfig, RebalanceLimits, MembershipConfig, MaintenancePlan, SharedHealthChecksConfig)
    return convert(load_toml(Path(path)), OperatorConfig, path, file_field_names(tables))
