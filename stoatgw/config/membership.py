"""The settings of membership, checked by their types. Only a proxy whose operators turn it on loads this."""

from __future__ import annotations

from typing import Annotated

import msgspec

Endpoint = Annotated[str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Scope = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class MembershipConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where the engine is and how long a lease lasts; docs/membership.md has the arithmetic."""

    engine: Annotated[tuple[Endpoint, ...], msgspec.Meta(min_length=1, max_length=16)]
    scope: Scope = "stoatgw"  # before all keys; one for each deployment
    lease_s: Annotated[int, msgspec.Meta(ge=2, le=600)] = 6  # a dead proxy's duty is free after so long
    look_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 500  # pause between two looks at the engine
    call_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 600  # a call ends within so long

    def __post_init__(self) -> None:
        # A renewal comes every third of a lease, after a look; one lost call may not cost the duty.
        if 3 * (self.look_ms + 2 * self.call_ms) > 1000 * self.lease_s:
            raise ValueError("lease_s: under three times look_ms and two call_ms: one lost call would end it")
