"""Where a maintenance stands in the engine: its keys, and a look at all of them at one revision. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from stoatgw.maintenance.ledger import Ledger, decode
from stoatgw.maintenance.steward import Member
from stoatgw.membership.words import View


class Told(msgspec.Struct, frozen=True):
    """What a proxy says of itself, under its own key."""

    name: str
    start_ms: int
    told: tuple[str, ...] = ()
    empty: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Keys:
    scope: str
    plan: str

    @property
    def prefix(self) -> str:
        return f"{self.scope}/maintenance/{self.plan}/"

    @property
    def ledger(self) -> str:
        return self.prefix + "ledger"

    @property
    def duty(self) -> str:
        return self.prefix + "duty"

    def member(self, identity: str) -> str:
        return f"{self.prefix}members/{identity}"

    def told(self, identity: str) -> str:
        return f"{self.prefix}told/{identity}"


@dataclass(frozen=True, slots=True)
class Look:
    """All keys of a maintenance, read at one revision."""

    revision: int
    ledger: Ledger | None
    ledger_change: int  # the revision of its last change; 0 without one
    holder: str  # identity; "" where nobody holds the duty
    token: int
    members: Mapping[str, Member]


def read_look(keys: Keys, view: View) -> Look:
    """Raises LedgerError for a ledger that cannot be read; a member that cannot be read counts as none."""
    pair, duty = view.get(keys.ledger), view.get(keys.duty)
    members: dict[str, Member] = {}
    places = keys.member("")
    for each in view.pairs:
        identity = each.key.removeprefix(places)
        if identity == each.key:
            continue
        said = view.get(keys.told(identity))
        # One that has a place and said nothing yet has nothing out.
        told = _read_told(said.value) if said is not None else Told(identity, 0)
        members[identity] = Member(told.name, told.start_ms, frozenset(told.told), frozenset(told.empty))
    return Look(
        view.revision,
        decode(pair.value) if pair is not None else None,
        pair.change if pair is not None else 0,
        duty.value.decode("utf-8", "replace") if duty is not None else "",
        duty.create if duty is not None else 0,
        members,
    )


def _read_told(data: bytes) -> Told:
    try:
        return msgspec.json.decode(data, type=Told)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return Told("", 0)
