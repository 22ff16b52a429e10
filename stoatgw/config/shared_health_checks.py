"""The `[sharing]` table of the operators' file. Only a proxy whose operators turn it on loads this."""

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
    """Each session server is health checked by one proxy for all.

    Attributes:
        check_interval_ms: The interval between two checks of a server, by all proxies together.
        takeover_delay_ms: When a server has gone unchecked for so long the next proxy in its order takes over, the
            one after that at twice the delay, and so on.
        max_report_age_ms: A published result that may be older is not handed to the decisions.
    """

    check_interval_ms: Milliseconds = 250
    takeover_delay_ms: Milliseconds = 2_000
    max_report_age_ms: Milliseconds = 1_500
