"""What the decision module takes and gives: settings, events, actions. No wire, no decisions.

All times are microseconds of the caller's clock; names that end in `_us` say so. Zones, classes,
tenants and machine kinds are indices into the settings' lists and carry no meaning of their own.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or cannot be right; the message names it."""


class Idempotency(Enum):
    """What repeating a request of a class may do."""

    RETRYABLE = "retryable"
    DEDUP = "dedup"
    FRAGILE = "fragile"


class KeyScope(Enum):
    """Which servers drop the repeats of a DEDUP request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Lifecycle(Enum):
    """A server's state in the list."""

    ON = "on"
    FADING = "fading"
    OFF = "off"


class ListKind(Enum):
    """What a list update holds."""

    DIFF = "diff"
    SNAPSHOT = "snapshot"
    DISK = "disk"
    ERROR = "error"


class Status(Enum):
    """How an attempt or a probe ended."""

    DELIVERED = "delivered"
    APP_ERROR = "app_error"
    SHED = "shed"
    EXPIRED = "expired"
    DIAL_FAILED = "dial_failed"
    DROPPED = "dropped"
    REVOKED = "revoked"
    UNUSED = "unused"

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the attempt did not run and will not."""
        return self in (Status.SHED, Status.DIAL_FAILED, Status.UNUSED)


class NoteKind(Enum):
    """What a note about a running attempt tells."""

    LOAD = 1
    DELAY = 2


@dataclass(frozen=True, slots=True)
class Profile:
    """One request class."""

    on_time_us: int
    deadline_us: int
    worth: float = 1.0
    idempotency: Idempotency = Idempotency.RETRYABLE
    key_scope: KeyScope = KeyScope.ALL
    key_ttl_us: int = 0
    message_aim_us: float = float("inf")
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is told once, at its start."""

    profiles: tuple[Profile, ...]
    balancers: int = 1
    rank: int = 0
    zone: int = 0
    max_attempts: int = 1
    can_probe: bool = False
    probe_price: float = 0.0
    live_weights: bool = False
    can_tell: bool = False
    can_cancel: bool = False
    can_advise_retry_after: bool = False
    parallel_tries: bool = False
    max_retry_after_us: int = 0
    counted_by_work: bool = False
    must_subscribe: bool = False
    pass_mode: bool = False
    park_us: int = 0
    groups: bool = False
    over_share_worth: float = 1.0
    tenants: tuple[str, ...] = ()  # by name, as clients' lines tell them; the same order as the quotas
    tenant_quota_connections: tuple[float, ...] = ()
    report_columns: tuple[str, ...] = ()
    answer_slack_us: int = 0
    ask_within_us: int = 0
    cold_from: float = 1.0
    cold_us: int = 0
    drain_grace_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    granularity_us: int = 0

    def __post_init__(self) -> None:
        checks = (
            ("profiles.count", len(self.profiles) > 0),
            ("balancers", self.balancers >= 1),
            ("rank", self.rank >= 0),
            ("bounds.max_attempts", self.max_attempts >= 1),
            ("rules.cold_from", 0.0 < self.cold_from <= 1.0),
            ("rules.cold_us", self.cold_us >= 0),
            ("rules.fall_multiple", 0.0 < self.fall_multiple < float("inf")),
            ("rules.fall_us", self.fall_us >= 0),
            ("rules.drain_grace_us", self.drain_grace_us >= 0),
        )
        for name, good in checks:
            if not good:
                raise SettingsError(f"setting {name} is missing or impossible")
        for index, profile in enumerate(self.profiles):
            if profile.deadline_us <= 0:
                raise SettingsError(f"setting profiles.{index}.deadline_us is missing or impossible")
            if profile.on_time_us <= 0:
                raise SettingsError(f"setting profiles.{index}.on_time_us is missing or impossible")
            if not 0.0 <= profile.worth < float("inf"):
                raise SettingsError(f"setting profiles.{index}.worth is missing or impossible")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list."""

    server: str
    lifecycle: Lifecycle = Lifecycle.ON
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    last_start_us: int = 0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """News of the server list; ERROR carries no entries."""

    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks for a connection; exactly one final answer is owed."""

    request: str
    profile: int
    patience_left_us: int
    tenant: int = 0
    key: int | None = None
    group: int | None = None
    hint_us: float | None = None
    hint_valid: bool = False
    client_retry: bool = False
    mid_flow: bool = False
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Existing:
    """A connection that stood before this balancer started; its attempt 0 was made."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True)
class Begun:
    """The server took the connection; no deadline binds from here on."""

    request: str
    attempt: int
    server: str
    spent_us: int


@dataclass(frozen=True, slots=True)
class Note:
    """News of a running attempt: its load (us of work a second) or a message's delay (ms)."""

    request: str
    attempt: int
    server: str
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended; `final` means that no answer is owed any more."""

    request: str
    attempt: int
    server: str
    status: Status
    spent_us: int
    final: bool
    report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Nobody waits for this request any more."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer asked for by SetTimer has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class Belief:
    """What the module believes of a ready server now, for whoever plans moves."""

    server: str
    zone: int
    load: float  # over what it can do now
    unit: float  # what one mean connection adds to that
    count: float  # connections held, by all balancers
    age_us: int  # of its last report
    share: float  # part of its full capacity that it has by now
    under_way: int  # own set-ups
    sound: bool  # neither left out nor failing nor late
    mine: tuple[Request, ...]  # own standing connections on it that are not moving


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What one probe found; the report follows `Settings.report_columns`."""

    server: str
    status: Status
    spent_us: int
    report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another balancer."""

    sender: int
    payload: bytes


Event = (
    ListUpdate
    | Request
    | Existing
    | Begun
    | Note
    | Outcome
    | ClientGone
    | TimerDue
    | ProbeResult
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; it is given up at `cut_at_us`."""

    request: str
    server: str
    cut_at_us: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, a repeat is harmless. Zero means no advice."""

    request: str
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised about the effect."""

    request: str


@dataclass(frozen=True, slots=True)
class Move:
    """Close a standing connection cleanly; its client comes back."""

    request: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close the subscription to the server list."""

    want: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole server list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue at a time of the clock."""

    at_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check on a server and read its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Give back idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to one peer, or to all of them where `peer` is None."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    message: str


Action = (
    Send | Cancel | Refuse | Fail | Move | Subscribe | FetchList | SetTimer | Probe | CloseIdle | Tell | Log
)
