"""Results of health checks as published by this proxy and by other members."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass

import msgspec

from stoatgw.controller.messages import HealthCheckCompleted
from stoatgw.decisions.interface import AttemptStatus


class PublishedHealthCheck(msgspec.Struct, frozen=True, array_like=True):
    """A health check's result, stored as an array: the order of the fields never changes.

    Attributes:
        number: Differs from the number of the server's previous result.
        age_ms: The result's age when it was published.
        status: How the check ended.
        elapsed_us: The check's duration.
        load_report: The server's load report, in the order of the configured columns.
    """

    number: int
    age_ms: int
    status: AttemptStatus
    elapsed_us: int
    load_report: tuple[float | None, ...]


@dataclass(frozen=True, slots=True)
class _OwnResult:
    number: int
    completed_us: int
    result: HealthCheckCompleted


class OwnResults:
    """The latest result of each server that this proxy has checked."""

    def __init__(self, max_age_us: int) -> None:
        self._max_age_us = max_age_us
        self._results: dict[str, _OwnResult] = {}
        self._last_number = 0

    def record(self, result: HealthCheckCompleted, now_us: int) -> None:
        """Record a result for publication."""
        self._last_number += 1
        self._results[result.server] = _OwnResult(self._last_number, now_us, result)

    def encode(self, servers: Collection[str], now_us: int) -> bytes:
        """Encode the results of listed servers that are not too old, and remove the results of other servers."""
        self._results = {name: own for name, own in self._results.items() if name in servers}
        published = {
            name: PublishedHealthCheck(
                own.number,
                age_ms=(now_us - own.completed_us) // 1000,
                status=own.result.status,
                elapsed_us=own.result.elapsed_us,
                load_report=own.result.load_report,
            )
            for name, own in self._results.items()
            if now_us - own.completed_us <= self._max_age_us
        }
        return msgspec.json.encode(published)


class PeerResults:
    """Tracks which results of other members have been received."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        self._numbers: dict[tuple[str, str], int] = {}  # by member and server

    def has_changed(self, member: str, revision: int) -> bool:
        """Return whether a member has published since the last call."""
        if self._revisions.get(member) == revision:
            return False
        self._revisions[member] = revision
        return True

    def new_results(self, member: str, data: bytes) -> Iterator[tuple[str, PublishedHealthCheck]]:
        """Yield the servers and results in a member's published data that have not been received before."""
        try:
            published = msgspec.json.decode(data, type=dict[str, PublishedHealthCheck])
        except (msgspec.DecodeError, msgspec.ValidationError):
            return  # published by another version: ignored
        for server, result in published.items():
            if self._numbers.get((member, server)) != result.number:
                self._numbers[member, server] = result.number
                yield server, result

    def retain(self, members: Collection[str]) -> None:
        """Forget members that are not in `members`."""
        lost = self._revisions.keys() - set(members)
        for member in lost:
            del self._revisions[member]
        if lost:
            self._numbers = {key: number for key, number in self._numbers.items() if key[0] not in lost}
