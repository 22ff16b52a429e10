"""The keys of a maintenance at the coordination engine, and a snapshot of them at one revision. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from stoatgw.maintenance.rollout_planner import ProxyMember
from stoatgw.maintenance.rollout_state import RolloutState, decode
from stoatgw.membership.etcd_api import RangeSnapshot

STORED_MEMBER_FIELDS = {"machines_out_of_service": "told", "machines_evacuated": "empty"}


class MemberStatus(msgspec.Struct, frozen=True, rename=STORED_MEMBER_FIELDS):
    """The status that a proxy publishes under its key.

    Attributes:
        name: The proxy's name.
        start_ms: When its process started, in Unix time.
        machines_out_of_service: The machines that the proxy has taken out of service.
        machines_evacuated: Those of them to which the proxy has no connections.
    """

    name: str
    start_ms: int
    machines_out_of_service: tuple[str, ...] = ()
    machines_evacuated: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MaintenanceKeys:
    """The keys of one plan. Processes of different versions use the same keys, so they never change."""

    scope: str
    plan_name: str

    @property
    def prefix(self) -> str:
        """Prefix of all keys of the plan."""
        return f"{self.scope}/maintenance/{self.plan_name}/"

    @property
    def rollout(self) -> str:
        """Key of the rollout state."""
        return self.prefix + "ledger"

    @property
    def leader_lease(self) -> str:
        """Key that the leader holds under its lease."""
        return self.prefix + "duty"

    def member(self, identity: str) -> str:
        """Return the key that a proxy holds under its lease while it is a member."""
        return f"{self.prefix}members/{identity}"

    def member_status(self, identity: str) -> str:
        """Return the key of a member's published status."""
        return f"{self.prefix}told/{identity}"


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """All keys of a maintenance, read at one revision.

    Attributes:
        revision: The store's revision.
        rollout: The rollout state, None before the first write.
        rollout_revision: The revision of the rollout state's last change, 0 before the first write.
        leader: The leader's identity, "" without a leader.
        fencing_token: The leader's fencing token, 0 without a leader.
        members: The proxies that are members, by identity.
    """

    revision: int
    rollout: RolloutState | None
    rollout_revision: int
    leader: str
    fencing_token: int
    members: Mapping[str, ProxyMember]


def read_store_snapshot(keys: MaintenanceKeys, entries: RangeSnapshot) -> StoreSnapshot:
    """Parse the entries of a plan's keys.

    A malformed member status counts as one without name and machines.

    Raises:
        RolloutStateError: The rollout state is malformed.
    """
    rollout = entries.get(keys.rollout)
    leader = entries.get(keys.leader_lease)
    return StoreSnapshot(
        revision=entries.revision,
        members=_read_members(keys, entries),
        rollout=decode(rollout.value) if rollout is not None else None,
        rollout_revision=rollout.mod_revision if rollout is not None else 0,
        leader=leader.value.decode("utf-8", "replace") if leader is not None else "",
        fencing_token=leader.create_revision if leader is not None else 0,
    )


def _read_members(keys: MaintenanceKeys, entries: RangeSnapshot) -> dict[str, ProxyMember]:
    members: dict[str, ProxyMember] = {}
    prefix = keys.member("")
    for entry in entries.entries:
        if not entry.key.startswith(prefix):
            continue
        identity = entry.key.removeprefix(prefix)
        published = entries.get(keys.member_status(identity))
        # A member that has not published a status yet has taken no machine out of service.
        status = _decode_status(published.value) if published is not None else MemberStatus(identity, 0)
        members[identity] = ProxyMember(
            status.name,
            status.start_ms,
            frozenset(status.machines_out_of_service),
            frozenset(status.machines_evacuated),
        )
    return members


def _decode_status(data: bytes) -> MemberStatus:
    try:
        return msgspec.json.decode(data, type=MemberStatus)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return MemberStatus("", 0)
