"""The `[membership]` table of the operators' file. A proxy without such a file does not import this module."""

from __future__ import annotations

from typing import Annotated

import msgspec

Endpoint = Annotated[str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Scope = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]

TOML_NAMES = {
    "endpoints": "engine",
    "lease_ttl_s": "lease_s",
    "poll_interval_ms": "look_ms",
    "call_timeout_ms": "call_ms",
}


class MembershipConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=TOML_NAMES):
    """The coordination engine's addresses and the timing of leases; docs/membership.md derives the limits.

    Attributes:
        endpoints: Addresses of one engine, `host:port`.
        scope: The prefix of all keys; differs for each deployment.
        lease_ttl_s: A lease's time to live, after which the leases of a dead proxy expire.
        poll_interval_ms: The pause between two reads of the engine.
        call_timeout_ms: The timeout of one call.
    """

    endpoints: Annotated[tuple[Endpoint, ...], msgspec.Meta(min_length=1, max_length=16)]
    scope: Scope = "stoatgw"
    lease_ttl_s: Annotated[int, msgspec.Meta(ge=2, le=600)] = 6
    poll_interval_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 500
    call_timeout_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000)] = 600

    def __post_init__(self) -> None:
        # A lease is renewed after a read, every third of its time to live; one lost call must not let it expire.
        if 3 * (self.poll_interval_ms + 2 * self.call_timeout_ms) > 1000 * self.lease_ttl_s:
            raise ValueError(
                "lease_s: under three times the sum of look_ms and two call_ms: one lost call would end it"
            )
