"""A maintenance plan, as the operators' file holds it, checked by its types and rules."""

from __future__ import annotations

import hashlib
from typing import Annotated, Literal

import msgspec
import orjson

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
Machine = Annotated[str, msgspec.Meta(pattern=r"^(proxy/)?[A-Za-z0-9_.-]{1,128}$")]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)]
PROXY = "proxy/"  # before the name of a proxy; the others are session servers, by their id


class MaintenancePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which machines, how many at once, how long each, and what counts as done."""

    name: Name  # another name is another maintenance, begun from the first machine
    machines: Annotated[tuple[Machine, ...], msgspec.Meta(min_length=1, max_length=5000)]
    out_most: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1  # session servers out at once
    zone_share: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.34  # of each zone's session servers, rounded down
    proxies_out_most: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    members_least: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1  # no step begins with fewer proxies at the engine
    done: Literal["empty", "restarted"] = "restarted"  # nobody is on it any more; the list tells of a later start
    step_s: Annotated[float, msgspec.Meta(ge=1.0, le=86_400.0)] = 300.0  # then it is released as late
    rest_s: Seconds = 0.0  # with done = "empty": how long it stays out empty
    settle_s: Seconds = 10.0  # one released counts as out for so long: it may be cold
    lapsed_s: Seconds = 20.0  # a proxy lost from the engine in a step is taken for dead after so long

    def __post_init__(self) -> None:
        twice = sorted({name for name in self.machines if self.machines.count(name) > 1})
        if twice:
            raise ValueError(f"machines: {twice[0]} comes twice")
        if self.rest_s and self.done != "empty":
            raise ValueError('rest_s: only with done = "empty"')
        if self.rest_s >= self.step_s:
            raise ValueError("rest_s: not under step_s, every machine would be late")

    @property
    def fingerprint(self) -> str:
        """Two proxies with the same name and another fingerprint disagree: the second does nothing."""
        return hashlib.sha256(orjson.dumps(msgspec.to_builtins(self), option=orjson.OPT_SORT_KEYS)).hexdigest()[:16]
