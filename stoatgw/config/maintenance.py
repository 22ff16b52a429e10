"""The `[maintenance]` table of the operators' file: the plan of a rolling maintenance, validated by its types."""

from __future__ import annotations

import hashlib
from typing import Annotated, Literal

import msgspec
import orjson

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
Machine = Annotated[str, msgspec.Meta(pattern=r"^(proxy/)?[A-Za-z0-9_.-]{1,128}$")]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
PROXY_PREFIX = "proxy/"  # marks a proxy's name; machines without it are session servers, named by their id

TOML_NAMES = {
    "max_unavailable_servers": "out_most",
    "max_zone_fraction": "zone_share",
    "max_unavailable_proxies": "proxies_out_most",
    "min_members": "members_least",
    "completion": "done",
    "step_timeout_s": "step_s",
    "min_evacuated_s": "rest_s",
    "member_loss_timeout_s": "lapsed_s",
}


class MaintenancePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=TOML_NAMES):
    """Which machines are maintained, how many at once, for how long, and when a step is complete.

    Attributes:
        name: Identifies the maintenance; a plan with another name starts from its first machine.
        machines: Session servers and proxies, in the order in which they are taken out of service.
        max_unavailable_servers: Maximum number of session servers out of service at once.
        max_zone_fraction: Maximum share of each zone's session servers out of service at once, rounded down.
        max_unavailable_proxies: Maximum number of proxies out of service at once.
        min_members: No step starts while fewer proxies are members at the coordination engine.
        completion: "empty": a step completes when no proxy uses the machine any more; "restarted": when discovery
            lists a later start time.
        step_timeout_s: After this time a step ends as late and the machine returns to service.
        min_evacuated_s: How long a machine stays out of service once it is evacuated; only with `completion` "empty".
        settle_s: How long a machine that has returned to service still counts as unavailable, since it may be
            warming up.
        member_loss_timeout_s: A proxy that is lost during a step counts as dead after this time.
    """

    name: Name
    machines: Annotated[tuple[Machine, ...], msgspec.Meta(min_length=1, max_length=5000)]
    max_unavailable_servers: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    max_zone_fraction: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.34
    max_unavailable_proxies: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    min_members: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    completion: Literal["empty", "restarted"] = "restarted"
    step_timeout_s: Annotated[float, msgspec.Meta(ge=1.0, le=86_400.0)] = 300.0
    min_evacuated_s: Seconds = 0.0
    settle_s: Seconds = 10.0
    member_loss_timeout_s: Seconds = 20.0

    def __post_init__(self) -> None:
        duplicates = sorted({name for name in self.machines if self.machines.count(name) > 1})
        if duplicates:
            raise ValueError(f"machines: {duplicates[0]} is listed twice")
        if self.min_evacuated_s and self.completion != "empty":
            raise ValueError('rest_s: only allowed with done = "empty"')
        if self.min_evacuated_s >= self.step_timeout_s:
            raise ValueError("rest_s: must be less than step_s, or every step would time out")

    @property
    def fingerprint(self) -> str:
        """Digest of the plan: a proxy ignores a rollout whose plan has the same name but another fingerprint."""
        return hashlib.sha256(orjson.dumps(msgspec.to_builtins(self), option=orjson.OPT_SORT_KEYS)).hexdigest()[:16]
