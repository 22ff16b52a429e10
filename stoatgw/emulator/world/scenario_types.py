"""The base class of all scenario tables, and the constrained types of their fields."""

from __future__ import annotations

from typing import Annotated

import msgspec

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Index = Annotated[int, msgspec.Meta(ge=0)]
Range = tuple[NotNegative, NotNegative]
ShareRange = tuple[Share, Share]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of all scenario tables: unknown fields are rejected."""
