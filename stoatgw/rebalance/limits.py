"""The settings of rebalancing, checked by their types. Only a proxy whose operators turn it on loads this."""

from __future__ import annotations

from typing import Annotated

import msgspec

OpenFraction = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1000)]
DurationUs = Annotated[int, msgspec.Meta(ge=100_000, le=3_600_000_000)]


class RebalanceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The `[rebalance]` table. The defaults are what docs/results/ was measured with.

    Attributes:
        enabled: Whether sessions are migrated at all.
        step_interval_us: Time between two plans; `step_us` in the file.
        overload_threshold: Load from which a server's messages begin to be late: nothing is migrated from a server
            below it; `over` in the file.
        min_load_gap: By how much load the target must stay under the source after the migration; `gap` in the file.
        min_warm_up_fraction: Fraction of its full capacity that a target must have by now; `warm` in the file.
        migration_rate: Fraction of the proxy's own sessions that it may migrate in a second; `rate` in the file.
        max_migrations_per_server: Migrations from one server, and to one, in a step; `per_server` in the file.
        max_migrations_per_group: Migrations of one group in a step; `per_group` in the file.
        max_migrations_in_flight: Migrated clients that may not have returned yet; `under_way` in the file.
        min_remigration_interval_us: A client is not migrated twice within it; `again_us` in the file.
        reconnect_window_us: How long a migrated client counts as not returned; `back_us` in the file.
        max_report_age_us: A server with an older report is neither source nor target; `fresh_us` in the file.
        migration_cost_s: Cost of a migration, in seconds of the session's priority weight; `cost_s` in the file.
        gain_horizon_s: How long a gain is taken to last; `horizon_s` in the file.
        latency_objective_ratio: Latency objective over a message's work: how steeply messages get late near capacity;
            `sharpness` in the file.
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
