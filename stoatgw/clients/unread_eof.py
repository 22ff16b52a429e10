"""Detecting sessions that stay open although a peer has closed its connection: without a read they would never end."""

from __future__ import annotations

import select
from collections.abc import Iterator

from stoatgw.clients.context import EstablishedSession, PeerSide, ProxyContext

END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
UnreadEof = tuple[str, PeerSide]  # the request's id, and the side that has closed its connection


class UnreadEofDetector:
    """Logs each session with an EOF that two consecutive checks have found unread.

    An EOF is read as soon as it is received, unless data before it is still being sent to the other side. Any other
    unread EOF is an error of this program, of the event loop or of the operating system.
    """

    def __init__(self, context: ProxyContext) -> None:
        """Create a detector without findings."""
        self._context = context
        self._found: set[UnreadEof] = set()  # by the last check

    def check(self) -> None:
        """Check all established sessions, with one system call."""
        found = set(self._find_unread_eof())
        for request_id, side in found & self._found:
            session = self._context.established_sessions[request_id]
            self._context.counters.add("ends_unread")
            self._context.log.event("end_unread", id=request_id, side=side.value, backend=session.server)
        self._found = found

    def _find_unread_eof(self) -> Iterator[UnreadEof]:
        poll = select.poll()
        ends: dict[int, UnreadEof] = {}
        for request_id, session in self._context.established_sessions.items():
            for descriptor, side in _monitored_descriptors(session):
                ends[descriptor] = (request_id, side)
                poll.register(descriptor, select.POLLRDHUP)
        for descriptor, events in poll.poll(0):
            if events & END_EVENTS:
                yield ends[descriptor]


def _monitored_descriptors(session: EstablishedSession) -> Iterator[tuple[int, PeerSide]]:
    """Yield the connections on which an EOF has to be read as soon as it is received."""
    if session.session_state.has_ended:
        return
    for peer in session.relay.peers():
        if peer.descriptor >= 0 and not peer.is_blocked:  # negative: closed
            yield peer.descriptor, peer.side
