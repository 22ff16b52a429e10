"""The `[sharing]` table of the operators' file. A proxy without such a file does not import this module."""

from __future__ import annotations

from typing import Annotated

import msgspec

Milliseconds = Annotated[int, msgspec.Meta(ge=50, le=60_000)]

TOML_NAMES = {
    "check_interval_ms": "probe_ms",
    "takeover_delay_ms": "stale_ms",
    "max_report_age_ms": "take_ms",
}


class SharedHealthChecksConfig(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename=TOML_NAMES
):
    """Settings of shared health checks: one proxy checks a session server on behalf of all.

    Attributes:
        check_interval_ms: The interval between two checks of a server, across all proxies.
        takeover_delay_ms: When a server has not been checked for this time, the next proxy in the server's ranking
            takes over; the one after that at twice the delay, and so on.
        max_report_age_ms: A published result that may be older than this is not passed to the decisions.
    """

    check_interval_ms: Milliseconds = 250
    takeover_delay_ms: Milliseconds = 2_000
    max_report_age_ms: Milliseconds = 1_500
