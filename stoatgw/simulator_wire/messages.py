"""The messages that the simulator sends between TURN and GO."""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.interface import Event, Settings


@dataclass(frozen=True, slots=True)
class Start:
    """Start a balancer instance."""

    instance: int
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """Remove a balancer instance, which was killed."""

    instance: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """An event for one instance."""

    instance: int
    event: Event


Message = Start | Stop | Delivery
