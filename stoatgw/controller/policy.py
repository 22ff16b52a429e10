"""What the controller needs of a decision policy, and what some policies offer beyond that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, runtime_checkable

from stoatgw.decisions.interface import Action, Event, ServerEstimate, Settings


class DecisionPolicy(Protocol):
    """Whatever decides: the `Balancer`, or a policy that experiments put in its place."""

    def start(self, now_us: int) -> list[Action]:
        """Returns the actions to carry out before the first event."""
        ...

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Handles an event and returns the actions that follow from it, in order."""
        ...


@runtime_checkable
class MigratingPolicy(DecisionPolicy, Protocol):
    """A policy that also reports its estimates of the servers and records migrations that are decided elsewhere."""

    def estimates(self, now_us: int) -> list[ServerEstimate]:
        """Returns what the policy believes of each server that is ready."""
        ...

    def avoided_servers(self, now_us: int) -> list[str]:
        """Returns the names of the listed servers that get no new sessions for now."""
        ...

    def migrate(self, request_id: str, /) -> list[Action]:
        """Records that an established session is migrated, and returns the actions that do it."""
        ...


PolicyFactory = Callable[[Settings, int], DecisionPolicy]
"""Makes a policy from the settings and the seed of its random draws."""
