"""The connections of one balancer, by request and by server."""

from __future__ import annotations

from stoatgw.decisions.events import Request
from stoatgw.decisions.state.balancer_state import BalancerState
from stoatgw.decisions.state.connection_state import ConnectionState
from stoatgw.decisions.state.server_state import ServerState

MAX_HINT_US = 1e12  # hints of this value or more are implausible and ignored


class ConnectionTable:
    """Keeps the connections, and all counters that depend on which server they are on."""

    def __init__(self, counts: BalancerState) -> None:
        """Create an empty table, which keeps `counts` up to date."""
        self._counts = counts
        self._by_request: dict[str, ConnectionState] = {}
        self._by_server: dict[ServerState, dict[str, ConnectionState]] = {}

    def __len__(self) -> int:
        """Return the number of requests and connections that have not ended."""
        return len(self._by_request)

    def __getitem__(self, request_id: str) -> ConnectionState:
        return self._by_request[request_id]

    def get(self, request_id: str) -> ConnectionState | None:
        """Return the connection of a request; None if it has ended or does not exist."""
        return self._by_request.get(request_id)

    def open(self, request: Request, now_us: int) -> ConnectionState:
        """Add a request and estimate its load from its hint."""
        units = 1.0
        if request.hint_valid and request.hint_us is not None and 0 < request.hint_us < MAX_HINT_US:
            units = self._counts.load_units(request.hint_us)
        self._counts.tenant_connections[request.tenant] += 1
        connection = ConnectionState(request, deadline_us=now_us + request.time_left_us, load_units=units)
        self._by_request[request.request_id] = connection
        return connection

    def close(self, connection: ConnectionState) -> None:
        """Remove a request that has ended."""
        self._by_request.pop(connection.request.request_id, None)
        self._counts.tenant_connections[connection.request.tenant] -= 1

    def assign(self, connection: ConnectionState, server: ServerState, sent_us: int) -> None:
        """Count a connection on a server from `sent_us` on; 0 if it existed before this balancer started."""
        connection.server = server
        connection.sent_us = sent_us
        server_connections = self._by_server.setdefault(server, {})
        server_connections[connection.request.request_id] = connection
        server.own_connections = len(server_connections)
        server.group_connections[connection.request.group] += 1
        if not connection.is_established:
            self._counts.setups_in_flight += 1
            server.setups_in_flight += 1
        # A client that reconnects because a peer drains does not imply that the peers place as many.
        if sent_us > 0 and not connection.request.is_returning:
            self._counts.placed_this_period += connection.load_units
        server.add_unreported(sent_us, connection.load_units)

    def release(self, connection: ConnectionState, server: ServerState, now_us: int) -> None:
        """Stop counting a connection on its server."""
        connection.server = None
        group = connection.request.group
        server.group_connections[group] -= 1
        if not server.group_connections[group]:
            del server.group_connections[group]
        server_connections = self._by_server[server]
        del server_connections[connection.request.request_id]
        server.own_connections = len(server_connections)
        if not server_connections:
            del self._by_server[server]
        since_us = now_us
        if not connection.is_established:
            # A failed set-up counts as never sent; an established connection is subtracted from now on.
            since_us = connection.sent_us
            self._counts.setups_in_flight -= 1
            server.setups_in_flight -= 1
        server.add_unreported(since_us, -connection.load_units)

    def establish(self, connection: ConnectionState, server: ServerState) -> None:
        """Count a connection's set-up as complete."""
        if not connection.is_established:
            connection.is_established = True
            self._counts.setups_in_flight -= 1
            server.setups_in_flight -= 1

    def migratable(self, server: ServerState) -> list[ConnectionState]:
        """Return the server's established connections that are not migrating, oldest first."""
        server_connections = self._by_server.get(server, {}).values()
        return [each for each in server_connections if each.is_established and not each.is_migrating]
