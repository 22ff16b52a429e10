"""What the controller needs of whatever decides, and what it may find there beyond that."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from stoatgw.decisions.interface import Action, Event, Settings


class DecisionPolicy(Protocol):
    """Whatever decides: the `Balancer`, or a policy that experiments set beside it."""

    def start(self, now_us: int) -> list[Action]:
        """Returns the actions to carry out before the first event."""
        ...

    def handle(self, event: Event, now_us: int) -> list[Action]:
        """Takes in an event and returns the actions that follow from it, in order."""
        ...


MakePolicy = Callable[[Settings, int], DecisionPolicy]
"""Makes a policy from the settings and the seed of its random draws."""
