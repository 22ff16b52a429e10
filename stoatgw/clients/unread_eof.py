"""Finds sessions that go on though a peer has ended its connection: one whose end nobody reads would never end."""

from __future__ import annotations

import select
from collections.abc import Iterator

from stoatgw.clients.context import EstablishedSession, PeerSide, ProxyContext

END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
UnreadEof = tuple[str, PeerSide]  # a request's id, and whose end it is


class UnreadEofDetector:
    """Logs each session with an end that two checks in a row have found unread.

    An end is read as soon as it comes, unless the bytes before it wait for the other side to take them. Whatever else
    is found is a fault of the program, of the event loop or of the system.
    """

    def __init__(self, context: ProxyContext) -> None:
        """Starts with nothing found."""
        self._context = context
        self._found: set[UnreadEof] = set()  # in the last check

    def check(self) -> None:
        """Checks all established sessions, with one system call."""
        found = set(self._find())
        for request_id, side in found & self._found:
            session = self._context.established_sessions[request_id]
            self._context.counters.add("ends_unread")
            self._context.log.event("end_unread", id=request_id, side=side.value, backend=session.server)
        self._found = found

    def _find(self) -> Iterator[UnreadEof]:
        poll = select.poll()
        ends: dict[int, UnreadEof] = {}
        for request_id, session in self._context.established_sessions.items():
            for descriptor, side in _read_descriptors(session):
                ends[descriptor] = (request_id, side)
                poll.register(descriptor, select.POLLRDHUP)
        for descriptor, events in poll.poll(0):
            if events & END_EVENTS:
                yield ends[descriptor]


def _read_descriptors(session: EstablishedSession) -> Iterator[tuple[int, PeerSide]]:
    """Gives the connections on which an end is to be read at once."""
    if session.session_state.has_ended:
        return
    for peer in session.relay.peers():
        if peer.descriptor >= 0 and not peer.is_blocked:  # below 0: closed
            yield peer.descriptor, peer.side
