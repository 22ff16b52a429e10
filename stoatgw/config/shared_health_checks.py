"""The settings of shared probing, checked by their types. Only a proxy whose operators turn it on loads this."""

from __future__ import annotations

from typing import Annotated

import msgspec

Span = Annotated[int, msgspec.Meta(ge=50, le=60_000)]


class SharedHealthChecksConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Each server is probed by one proxy for all."""

    probe_ms: Span = 250  # each server is probed so often
    stale_ms: Span = 2_000  # who stands in begins when nothing was heard of a server for so long, the next after twice
    take_ms: Span = 1_500  # a report that may be older is not handed to the decisions
