"""Runs the decision policy: hands it events, has its actions carried out, replaces it after a fault."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from stoatgw.controller.policy import MigratingPolicy, PolicyFactory
from stoatgw.decisions.interface import Action, Event, Settings


class ActionPerformer(Protocol):
    """Carries out what the policy decided."""

    def perform(self, actions: Iterable[Action]) -> None:
        """Carries out the actions in order."""
        ...


class DecisionRunner:
    """The policy in use and the time at which it decides.

    Called from the controller's task only. `attach` is called before the first event.

    Attributes:
        now_us: The time of the batch of messages in hand; all its events reach the policy at this time.
    """

    def __init__(self, settings: Settings, seed: int, make_policy: PolicyFactory) -> None:
        self._settings = settings
        self._seed = seed
        self._make_policy = make_policy
        self._policy = make_policy(settings, seed)
        self._performer: ActionPerformer
        self.now_us = 0

    def attach(self, performer: ActionPerformer) -> None:
        """Sets who carries out the actions."""
        self._performer = performer

    @property
    def migrating_policy(self) -> MigratingPolicy | None:
        """The policy in use if it can migrate sessions and report on servers, else None."""
        return self._policy if isinstance(self._policy, MigratingPolicy) else None

    def start(self) -> None:
        """Starts the policy."""
        self.perform(self._policy.start(self.now_us))

    def notify(self, event: Event) -> None:
        """Hands an event to the policy and has the actions that follow from it carried out."""
        self._performer.perform(self._policy.handle(event, self.now_us))

    def perform(self, actions: Iterable[Action]) -> None:
        """Has actions carried out that the policy returned to somebody else."""
        self._performer.perform(actions)

    def replace_policy(self) -> None:
        """Puts a new policy, with the next seed, in the place of one that failed; `start` is left to the caller."""
        self._seed += 1
        self._policy = self._make_policy(self._settings, self._seed)
