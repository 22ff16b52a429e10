"""The interface of decision policies to the controller, and its optional extension for migrations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, runtime_checkable

from stoatgw.decisions.interface import Action, Event, ServerEstimate, Settings


class DecisionPolicy(Protocol):
    """Makes the decisions: the `Balancer`, or an experimental policy in its place."""

    def start(self, now_us: int) -> list[Action]:
        """Return the actions to execute before the first event."""
        ...

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Handle an event and return the resulting actions, in order."""
        ...


@runtime_checkable
class MigratingPolicy(DecisionPolicy, Protocol):
    """A policy that also publishes its estimates of the servers and records migrations that others decide."""

    def estimates(self, now_us: int) -> list[ServerEstimate]:
        """Return the policy's estimate of each server that is ready."""
        ...

    def avoided_servers(self, now_us: int) -> list[str]:
        """Return the names of the listed servers that currently receive no new sessions."""
        ...

    def migrate(self, request_id: str, /) -> list[Action]:
        """Record that an established session is migrated, and return the actions that migrate it."""
        ...


PolicyFactory = Callable[[Settings, int], DecisionPolicy]
"""Creates a policy from the settings and the seed of its random generator."""
