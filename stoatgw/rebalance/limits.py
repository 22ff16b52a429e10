"""The settings of rebalancing, checked by their types. Only a proxy whose operators turn it on loads this."""

from __future__ import annotations

from typing import Annotated

import msgspec

Part = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1000)]
Span = Annotated[int, msgspec.Meta(ge=100_000, le=3_600_000_000)]


class RebalanceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Each setting with its unit; the defaults are what docs/results/ was measured with."""

    enabled: bool = False
    step_us: Span = 1_000_000  # between two plans
    over: Part = 0.62  # load from which a server's messages begin to be late: nothing moves off one under it
    gap: Part = 0.2  # load by which the target must be emptier than the source, after the move
    warm: Share = 0.7  # part of its full capacity that a server must have by now to be moved to
    rate: Part = 0.03  # part of the proxy's own standing connections that it may move in a second
    per_server: Count = 2  # moves off one server, and to one, in a step
    per_group: Count = 1  # moves of one group in a step
    under_way: Count = 6  # moved clients that may be on their way back
    again_us: Span = 60_000_000  # a client is not moved twice within so long
    back_us: Span = 1_500_000  # a moved client counts as on its way back for so long
    fresh_us: Span = 2_500_000  # a server whose report is older neither gives nor takes
    cost_s: Positive = 1.2  # seconds of a connection's worth that a move is taken to cost
    horizon_s: Positive = 25.0  # a gain is taken to last so long
    sharpness: Positive = 12.0  # aim over a message's work: how steeply messages get late near capacity
    part: Part = 0.5  # of the excess over balance, that all proxies together go in a step
