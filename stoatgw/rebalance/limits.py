"""The settings of rebalancing, validated by their types. A proxy without an operators' file does not import them."""

from __future__ import annotations

from typing import Annotated

import msgspec

OpenFraction = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1000)]
DurationUs = Annotated[int, msgspec.Meta(ge=100_000, le=3_600_000_000)]


class RebalanceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The `[rebalance]` table of the operators' file. The results in docs/results/ were measured with the defaults.

    Attributes:
        enabled: Whether sessions are migrated at all.
        step_interval_us: Time between two steps, each of which makes a plan; `step_us` in the file.
        overload_threshold: Load above which a server's messages begin to be late; sessions migrate only from servers
            above it to servers below it; `over` in the file.
        min_load_gap: Minimum difference between the source's load and the target's load after the migration; `gap`
            in the file.
        min_warm_up_fraction: Fraction of its full capacity that a target must have reached; `warm` in the file.
        migration_rate: Fraction of its own sessions that a proxy may migrate per second; `rate` in the file.
        max_migrations_per_server: Maximum migrations from one server, and to one server, in a step; `per_server`
            in the file.
        max_migrations_per_group: Maximum migrations of one group in a step; `per_group` in the file.
        max_migrations_in_flight: Maximum migrated clients that may not have reconnected yet; `under_way` in the file.
        min_remigration_interval_us: Minimum time between two migrations of a client; `again_us` in the file.
        reconnect_window_us: How long a migrated client counts as not reconnected yet; `back_us` in the file.
        max_report_age_us: Maximum age of a server's load report; a server with an older one is neither source nor
            target; `fresh_us` in the file.
        migration_cost_s: Cost of a migration, in seconds of the session's service, weighted by its priority; `cost_s`
            in the file.
        gain_horizon_s: How long a gain is assumed to last; `horizon_s` in the file.
        latency_objective_ratio: Latency objective divided by the service time of a message; determines how steeply the
            on-time fraction falls near capacity; `sharpness` in the file.
        excess_fraction: Fraction of the excess load that all proxies together migrate in a step; `part` in the file.
    """

    enabled: bool = False
    step_interval_us: DurationUs = msgspec.field(default=1_000_000, name="step_us")
    overload_threshold: OpenFraction = msgspec.field(default=0.62, name="over")
    min_load_gap: OpenFraction = msgspec.field(default=0.2, name="gap")
    min_warm_up_fraction: Fraction = msgspec.field(default=0.7, name="warm")
    migration_rate: OpenFraction = msgspec.field(default=0.03, name="rate")
    max_migrations_per_server: Count = msgspec.field(default=2, name="per_server")
    max_migrations_per_group: Count = msgspec.field(default=1, name="per_group")
    max_migrations_in_flight: Count = msgspec.field(default=6, name="under_way")
    min_remigration_interval_us: DurationUs = msgspec.field(default=60_000_000, name="again_us")
    reconnect_window_us: DurationUs = msgspec.field(default=1_500_000, name="back_us")
    max_report_age_us: DurationUs = msgspec.field(default=2_500_000, name="fresh_us")
    migration_cost_s: Positive = msgspec.field(default=1.2, name="cost_s")
    gain_horizon_s: Positive = msgspec.field(default=25.0, name="horizon_s")
    latency_objective_ratio: Positive = msgspec.field(default=12.0, name="sharpness")
    excess_fraction: OpenFraction = msgspec.field(default=0.5, name="part")
