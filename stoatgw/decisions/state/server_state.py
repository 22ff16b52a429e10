"""One balancer's observations of one server process."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from stoatgw.decisions.events import Endpoint
from stoatgw.decisions.settings import Settings

MAX_NAME_OFFSET = 1 << 30
NEVER_US = -(10**9)  # earlier than any time of the clock
RESTART_LISTED_US = 8_000_000  # an observed restart is used for this long; after that the endpoint list shows it
RESTART_MIN_CONNECTIONS = 4  # a server that reported fewer is not assumed to have restarted when some are missing


@dataclass(slots=True, eq=False)
class SlowStartSend:
    """A connection that was sent to a server in slow start."""

    units: float  # its load in mean connections
    setup_ended_us: int | None = None  # when its set-up ended; None while it is in flight

    def may_arrive_after(self, time_us: int) -> bool:
        """Return whether the request may reach, or have reached, the server after a time."""
        return self.setup_ended_us is None or self.setup_ended_us > time_us


@dataclass(slots=True, eq=False)
class ServerState:
    """Observations of one server process; a restarted process counts as a new server."""

    endpoint: Endpoint
    slow_start_sends: list[SlowStartSend] = field(default_factory=list)  # the latest, with few balancers
    slow_start_slot: int = -1  # last slot that this balancer has used, with many balancers
    slow_start_units_left: float = 0.0  # load units left in that slot
    name_offset: int = field(init=False)  # shifts the ranks of the balancers that share its budget
    load_samples: list[tuple[int, float]] = field(default_factory=list)  # (time, load per connection)
    mean_load_per_connection: float = 0.0  # mean of the samples
    reported_connections: float | None = None  # in the last report, through all balancers
    reported_load: float = 0.0  # load relative to capacity, in the last report
    reported_us: int = 0  # when that report was received
    unreported_changes: list[tuple[int, float]] = field(default_factory=list)  # (time, change in load units)
    unreported_units: float = 0.0  # sum of these changes; stored since it is read far more often than they change
    own_connections: int = 0  # connections through this balancer
    group_connections: Counter[int | None] = field(default_factory=Counter)  # own connections, by group
    health_checked_us: int = NEVER_US  # when it was last checked
    health_check_failures: int = 0  # consecutive
    setup_failures: int = 0  # consecutive
    setups_in_flight: int = 0  # set-ups of this balancer
    first_attempt_errors: int = 0  # consecutive
    ejected_until_us: int = 0
    latency_load: float = 0.0  # load equivalent to the last message latency
    latency_reported_us: int = NEVER_US  # when that latency was observed
    last_response_us: int = 0
    last_failure_us: int = 0  # when it last failed to respond
    restart_observed_us: int = 0  # when a report showed that it had lost its connections

    def __post_init__(self) -> None:
        self.name_offset = random.Random(self.endpoint.name).randrange(MAX_NAME_OFFSET)

    def start_us(self, now_us: int) -> int:
        """Return when its process started, as listed or as observed recently; 0 means long ago."""
        is_restart_observed = self.restart_observed_us > now_us - RESTART_LISTED_US
        return self.restart_observed_us if is_restart_observed else self.endpoint.started_us

    def warm_up_fraction(self, now_us: int, settings: Settings) -> float:
        """Return the fraction of its full capacity that it has at least by now, from `settings.cold_from` to 1."""
        start_us = self.start_us(now_us)
        age_us = now_us - start_us
        if start_us <= 0 or age_us >= settings.cold_us:
            return 1.0
        return settings.cold_from + (1.0 - settings.cold_from) * max(0, age_us) / settings.cold_us

    def shows_restart(self, connections: float) -> bool:
        """Return whether a report of `connections` shows that the server failed and recovered nearly empty."""
        before = self.reported_connections
        if before is None or not self.last_failure_us > self.reported_us > 0:
            return False
        return before >= RESTART_MIN_CONNECTIONS and before > 2 * connections

    def record_restart(self, now_us: int) -> None:
        """Restart slow start, seconds before the endpoint list shows the restart of the server."""
        self.restart_observed_us = now_us
        self.slow_start_slot = -1
        self.slow_start_units_left = 0.0

    def record_health_check(self, *, has_responded: bool) -> None:
        """Count consecutive failed health checks."""
        self.health_check_failures = 0 if has_responded else self.health_check_failures + 1

    def record_message_latency(self, equivalent_load: float, now_us: int) -> None:
        """Record the load that a message latency is equivalent to."""
        self.latency_load = equivalent_load
        self.latency_reported_us = now_us

    def record_setup(self) -> None:
        """Reset failures and ejection: a connection has been established."""
        self.setup_failures = 0
        self.ejected_until_us = 0
        self.first_attempt_errors = 0

    def add_load_sample(self, now_us: int, load: float, *, max_samples: int, max_age_us: int) -> None:
        """Add a sample of the load per connection; drop those beyond `max_samples` or `max_age_us`."""
        recent = [sample for sample in self.load_samples if sample[0] > now_us - max_age_us]
        self.load_samples = [*recent[1 - max_samples :], (now_us, load)]
        self.mean_load_per_connection = sum([load for _, load in self.load_samples]) / len(self.load_samples)

    def add_unreported(self, since_us: int, units: float) -> None:
        """Record a change of its load units at `since_us` that no report has shown yet."""
        self.unreported_changes.append((since_us, units))
        self.unreported_units += units

    def drop_reported(self, until_us: int) -> None:
        """Drop the changes up to `until_us`: a report has shown them."""
        self.unreported_changes = [change for change in self.unreported_changes if change[0] > until_us]
        self.unreported_units = sum([units for _, units in self.unreported_changes])

    def merge_reported(self, until_us: int) -> None:
        """Merge the changes up to `until_us` into one, which any later report will show."""
        before = self.unreported_units
        self.drop_reported(until_us)
        self.add_unreported(0, before - self.unreported_units)
