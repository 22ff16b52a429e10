"""Applies a rollout to this proxy, and publishes which machines it has taken out of service and evacuated."""

from __future__ import annotations

import msgspec

from stoatgw.config.maintenance import PROXY_PREFIX
from stoatgw.maintenance.keys import MemberStatus
from stoatgw.maintenance.proxy_actions import ProxyActions
from stoatgw.maintenance.rollout_state import RolloutState
from stoatgw.maintenance.settings import Clocks, MaintenanceSettings
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure
from stoatgw.membership.lease_holder import LeaseHolder


class LocalRollout:
    """Applies rollout states to this proxy; applying one late or twice is harmless."""

    def __init__(
        self, settings: MaintenanceSettings, membership_lease: LeaseHolder, actions: ProxyActions, clocks: Clocks
    ) -> None:
        self._proxy_name = settings.proxy_name
        self._machine_name = PROXY_PREFIX + settings.proxy_name
        self._status_key = settings.keys.member_status(settings.identity)
        self._lease = membership_lease
        self._actions = actions
        self._unix_us = clocks.unix_us
        self._start_ms = clocks.unix_us() // 1000
        self._suspended_since_us: dict[str, int] = {}
        self._is_draining = False
        self._previous_out_of_service: set[str] = set()
        self._published: tuple[bytes, int] = b"", 0  # the status, and the fencing token with which it was written

    def apply(self, state: RolloutState | None) -> None:
        """Take the state's machines out of service, and return all others to service."""
        now_us = self._unix_us()
        machines_out_of_service = state.machines_out_of_service() if state is not None else []
        self._suspended_since_us = {
            name: self._suspended_since_us.get(name, now_us)
            for name in machines_out_of_service
            if not name.startswith(PROXY_PREFIX)
        }
        self._actions.set_suspended_servers(self._suspended_since_us)
        must_drain = state is not None and self._must_drain(state)
        if must_drain and not self._is_draining:
            self._actions.start_drain()
        elif self._is_draining and not must_drain:
            self._actions.cancel_drain()
        self._is_draining = must_drain

    def _must_drain(self, state: RolloutState) -> bool:
        """Return whether this process must drain; one that started after the step began is the restarted process."""
        if self._machine_name not in state.machines_out_of_service():
            return False
        # Both times are from this machine's clock.
        return self._start_ms <= state.steps[self._machine_name].machine_start_ms

    async def publish(self) -> None:
        """Write this proxy's status under its membership lease, if it has changed.

        Raises:
            ResponseError: The response is malformed.
        """
        token = self._lease.fencing_token()
        if not token:
            return
        machines_out_of_service = [*self._suspended_since_us]
        if self._is_draining:
            machines_out_of_service.append(self._machine_name)
        # Only machines that were out of service at the last pass as well: a request may have been in flight to a
        # machine when it was taken out.
        evacuated = [
            name
            for name in machines_out_of_service
            if name in self._previous_out_of_service and self._is_evacuated(name)
        ]
        self._previous_out_of_service = set(machines_out_of_service)
        status = MemberStatus(
            self._proxy_name, self._start_ms, tuple(sorted(machines_out_of_service)), tuple(sorted(evacuated))
        )
        data = msgspec.json.encode(status)
        if self._published == (data, token):
            return
        put_status = etcd_api.put_operation(self._status_key, data, self._lease.lease_id)
        result = await self._lease.transact(token, [put_status])
        if not isinstance(result, CallFailure) and result.succeeded:
            self._published = data, token

    def _is_evacuated(self, name: str) -> bool:
        if name.startswith(PROXY_PREFIX):
            return self._actions.count_clients() == 0
        return self._actions.count_connections(name) == 0
