"""What one balancer has observed of one server process."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from stoatgw.decisions.events import Endpoint
from stoatgw.decisions.settings import Settings

MAX_NAME_OFFSET = 1 << 30
NEVER_US = -(10**9)  # a time long before any clock's
RESTART_LISTED_US = 8_000_000  # an observed restart counts this long: the endpoint list shows it by then
RESTART_MIN_CONNECTIONS = 4  # a server with fewer is not taken for restarted when some are missing


@dataclass(slots=True, eq=False)
class ServerState:
    """Observations of one server process; a restarted process is a new server."""

    endpoint: Endpoint
    slow_start_refilled_us: int  # when `slow_start_credit` was last brought up to date
    slow_start_credit: float = 0.0  # connections that may be sent during slow start, in a small fleet
    slow_start_slot: int = -1  # the last slot in its slow start that this balancer has used
    slow_start_units_left: float = 0.0  # load units that this slot still allows
    name_offset: int = field(init=False)  # shifts the ranks of the balancers that fill it
    load_samples: list[tuple[int, float]] = field(default_factory=list)  # (time, load per connection)
    mean_load_per_connection: float = 0.0  # of the samples
    reported_connections: float | None = None  # by the last report, of all balancers
    reported_load: float = 0.0  # load over capacity, by the last report
    reported_us: int = 0  # when that report came
    unreported_changes: list[tuple[int, float]] = field(default_factory=list)  # (time, change in load units)
    unreported_units: float = 0.0  # their sum, which is read far more often than they change
    own_connections: int = 0  # connections of this balancer
    group_connections: Counter[int | None] = field(default_factory=Counter)  # of this balancer, by group
    health_checked_us: int = NEVER_US  # when it was last checked
    health_check_failures: int = 0  # in a row
    setup_failures: int = 0  # in a row
    setups_in_flight: int = 0  # of this balancer
    first_attempt_errors: int = 0  # in a row
    ejected_until_us: int = 0
    latency_load: float = 0.0  # the load that the last message latency stands for
    latency_reported_us: int = NEVER_US  # when that latency was observed
    last_response_us: int = 0
    last_failure_us: int = 0  # when it last failed to respond
    restart_observed_us: int = 0  # when it responded again without its connections

    def __post_init__(self) -> None:
        self.name_offset = random.Random(self.endpoint.name).randrange(MAX_NAME_OFFSET)

    def start_us(self, now_us: int) -> int:
        """Return when its process started, as listed or as observed lately; 0: long ago."""
        is_restart_observed = self.restart_observed_us > now_us - RESTART_LISTED_US
        return self.restart_observed_us if is_restart_observed else self.endpoint.started_us

    def warm_up_fraction(self, now_us: int, settings: Settings) -> float:
        """Return the part of its full capacity that it surely has by now, from `settings.cold_from` to 1."""
        start_us = self.start_us(now_us)
        age_us = now_us - start_us
        if start_us <= 0 or age_us >= settings.cold_us:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * max(0, age_us) / settings.cold_us

    def shows_restart(self, connections: float) -> bool:
        """Whether a report of so many connections shows that it failed and came back nearly empty."""
        before = self.reported_connections
        if before is None or not self.last_failure_us > self.reported_us > 0:
            return False
        return before >= RESTART_MIN_CONNECTIONS and before > 2 * connections

    def record_restart(self, now_us: int) -> None:
        """Begin a slow start, seconds before the endpoint list shows the restart."""
        self.restart_observed_us = now_us
        self.slow_start_refilled_us = now_us
        self.slow_start_slot = -1
        self.slow_start_units_left = 0.0

    def record_health_check(self, *, has_responded: bool) -> None:
        """Count the health checks that failed in a row."""
        self.health_check_failures = 0 if has_responded else self.health_check_failures + 1

    def record_message_latency(self, equivalent_load: float, now_us: int) -> None:
        """Note the load that a message's latency stands for."""
        self.latency_load = equivalent_load
        self.latency_reported_us = now_us

    def record_setup(self) -> None:
        """Forget failures: a connection has been established."""
        self.setup_failures = 0
        self.ejected_until_us = 0
        self.first_attempt_errors = 0

    def add_load_sample(self, now_us: int, load: float, *, max_samples: int, max_age_us: int) -> None:
        """Add a sample of the load per connection and drop the oldest beyond the number and the age."""
        recent = [sample for sample in self.load_samples if sample[0] > now_us - max_age_us]
        self.load_samples = [*recent[1 - max_samples :], (now_us, load)]
        self.mean_load_per_connection = sum([load for _, load in self.load_samples]) / len(self.load_samples)

    def add_unreported(self, since_us: int, units: float) -> None:
        """Count a change of its load units since a time, which no report has shown."""
        self.unreported_changes.append((since_us, units))
        self.unreported_units += units

    def drop_reported(self, until_us: int) -> None:
        """Drop the changes up to a time: a report has shown them."""
        self.unreported_changes = [change for change in self.unreported_changes if change[0] > until_us]
        self.unreported_units = sum([units for _, units in self.unreported_changes])

    def merge_reported(self, until_us: int) -> None:
        """Merge the changes up to a time into one, which any later report will show."""
        before = self.unreported_units
        self.drop_reported(until_us)
        self.add_unreported(0, before - self.unreported_units)
