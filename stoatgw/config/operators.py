"""The operators' own file (TOML): all that is ours and not the platform's. With none, nothing of it is loaded.

Every field has a default that leaves the program as it is without a file. A fault is one line naming file and field.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from stoatgw.config.deployment import ConfigError
from stoatgw.config.maintenance import MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.shared_health_checks import SharedHealthChecksConfig
from stoatgw.config.toml import TomlError, convert, load_toml
from stoatgw.rebalance.limits import RebalanceLimits


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    version: Literal[1]
    rebalance: RebalanceLimits = RebalanceLimits()
    membership: MembershipConfig | None = None
    maintenance: MaintenancePlan | None = None
    sharing: SharedHealthChecksConfig | None = None

    def __post_init__(self) -> None:
        if self.maintenance is not None and self.membership is None:
            raise ValueError("membership: missing, and maintenance needs an engine to settle its order by")
        if self.sharing is not None:
            if self.membership is None:
                raise ValueError("membership: missing, and sharing needs an engine to publish by")
            # News of a probe takes up to two looks, and may count as one look older than it is.
            if self.sharing.stale_ms < self.sharing.probe_ms + 3 * self.membership.look_ms:
                raise ValueError("sharing.stale_ms: under probe_ms and three times look_ms: all would always stand in")


def load_operator_config(path: str) -> OperatorConfig:
    """Raises ConfigError."""
    kinds = (OperatorConfig, RebalanceLimits, MembershipConfig, MaintenancePlan, SharedHealthChecksConfig)
    names = [name for kind in kinds for name in kind.__struct_fields__]
    try:
        return convert(load_toml(Path(path)), OperatorConfig, path, names)
    except TomlError as fault:
        raise ConfigError(str(fault)) from None
