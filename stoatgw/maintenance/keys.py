"""Where a maintenance stands in the engine: its keys, and a look at all of them at one revision. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from stoatgw.maintenance.rollout_planner import ProxyMember
from stoatgw.maintenance.rollout_state import RolloutState, decode
from stoatgw.membership.etcd_api import RangeSnapshot

MEMBER_FIELDS = {"machines_out": "told", "machines_evacuated": "empty"}


class MemberStatus(msgspec.Struct, frozen=True, rename=MEMBER_FIELDS):
    """What a proxy says of itself, under its own key."""

    name: str
    start_ms: int
    machines_out: tuple[str, ...] = ()
    machines_evacuated: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MaintenanceKeys:
    scope: str
    plan: str

    @property
    def prefix(self) -> str:
        return f"{self.scope}/maintenance/{self.plan}/"

    @property
    def rollout(self) -> str:
        return self.prefix + "ledger"

    @property
    def leader_lease(self) -> str:
        return self.prefix + "duty"

    def member(self, identity: str) -> str:
        return f"{self.prefix}members/{identity}"

    def member_status(self, identity: str) -> str:
        return f"{self.prefix}told/{identity}"


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """All keys of a maintenance, read at one revision."""

    revision: int
    rollout: RolloutState | None
    rollout_revision: int  # the revision of its last change; 0 without one
    leader: str  # identity; "" where nobody holds the duty
    fencing_token: int
    members: Mapping[str, ProxyMember]


def read_store_snapshot(keys: MaintenanceKeys, view: RangeSnapshot) -> StoreSnapshot:
    """Raises LedgerError for a ledger that cannot be read; a member that cannot be read counts as none."""
    pair, duty = view.get(keys.rollout), view.get(keys.leader_lease)
    members: dict[str, ProxyMember] = {}
    places = keys.member("")
    for each in view.entries:
        identity = each.key.removeprefix(places)
        if identity == each.key:
            continue
        said = view.get(keys.member_status(identity))
        # One that has a place and said nothing yet has nothing out.
        told = _read_told(said.value) if said is not None else MemberStatus(identity, 0)
        members[identity] = ProxyMember(
            told.name, told.start_ms, frozenset(told.machines_out), frozenset(told.machines_evacuated)
        )
    return StoreSnapshot(
        view.revision,
        decode(pair.value) if pair is not None else None,
        pair.mod_revision if pair is not None else 0,
        duty.value.decode("utf-8", "replace") if duty is not None else "",
        duty.create_revision if duty is not None else 0,
        members,
    )


def _read_told(data: bytes) -> MemberStatus:
    try:
        return msgspec.json.decode(data, type=MemberStatus)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return MemberStatus("", 0)
