"""Runs the decision policy: passes events to it, has its actions executed, and replaces it after an exception."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from stoatgw.controller.policy import MigratingPolicy, PolicyFactory
from stoatgw.decisions.interface import Action, Event, Settings


class ActionPerformer(Protocol):
    """Executes the actions of the policy."""

    def perform(self, actions: Iterable[Action]) -> None:
        """Execute the actions in order."""
        ...


class DecisionRunner:
    """Holds the current policy and the time of its decisions.

    Called from the controller's task only. `attach` is called before the first event.

    Attributes:
        now_us: The time of the current batch of messages; all events of the batch are handled at this time.
    """

    def __init__(self, settings: Settings, seed: int, make_policy: PolicyFactory) -> None:
        self._settings = settings
        self._seed = seed
        self._make_policy = make_policy
        self._policy = make_policy(settings, seed)
        self._performer: ActionPerformer
        self.now_us = 0

    def attach(self, performer: ActionPerformer) -> None:
        """Set the performer that executes the actions."""
        self._performer = performer

    @property
    def migrating_policy(self) -> MigratingPolicy | None:
        """The current policy if it can migrate sessions and estimate servers, else None."""
        return self._policy if isinstance(self._policy, MigratingPolicy) else None

    def start(self) -> None:
        """Start the policy."""
        self.perform(self._policy.start(self.now_us))

    def notify(self, event: Event) -> None:
        """Pass an event to the policy and execute the actions that it returns."""
        self._performer.perform(self._policy.handle(event, self.now_us))

    def perform(self, actions: Iterable[Action]) -> None:
        """Execute actions that the policy returned to another caller."""
        self._performer.perform(actions)

    def replace_policy(self) -> None:
        """Replace a policy that failed by a new one with the next seed; the caller calls `start`."""
        self._seed += 1
        self._policy = self._make_policy(self._settings, self._seed)
