"""What the simulator tells the process between TURN and GO."""

from __future__ import annotations

from dataclasses import dataclass

from stoatgw.decisions.interface import Event, Settings


@dataclass(frozen=True, slots=True)
class Start:
    """A balancer instance starts."""

    instance: int
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Stop:
    """A balancer instance was killed."""

    instance: int


@dataclass(frozen=True, slots=True)
class Delivery:
    """An event for one instance."""

    instance: int
    event: Event


Message = Start | Stop | Delivery
