"""What the operators' calls do: see `management` for how they come in."""

from __future__ import annotations

from collections.abc import Callable
from typing import assert_never

from stoatgw.clients.context import ProxyContext
from stoatgw.director.director import Director
from stoatgw.management.calls import Deed, Order
from stoatgw.management.http import Answer
from stoatgw.owner.messages import Activate, Drain
from stoatgw.owner.owner import Owner
from stoatgw.suspension.keeper import Keeper
from stoatgw.telemetry.log import EventLog

# Newcomers stop 0.2 s after a PING is told no, which it is ten times a second; at 4 s nobody may be here.
DRAIN_NEWCOMERS_US, DRAIN_OVER_US, DRAIN_SERVE_US = 400_000, 2_000_000, 2_600_000


def drain(context: ProxyContext, owner: Owner, log: EventLog) -> None:
    """Send all clients away; nothing if that is under way."""
    if context.course.drain():
        log.event("drain", open=len(context.standing))
        owner.put(Drain(DRAIN_NEWCOMERS_US, DRAIN_OVER_US, DRAIN_SERVE_US))


class Operations:
    def __init__(
        self,
        context: ProxyContext,
        owner: Owner,
        director: Director,
        keeper: Keeper,
        log: EventLog,
        accepts: Callable[[], bool],
    ) -> None:
        self._context, self._owner, self._director, self._keeper = context, owner, director, keeper
        self._log, self._accepts = log, accepts

    def take(self, order: Order) -> Answer:
        match order.deed:
            case Deed.READY:
                return self._ready()
            case Deed.METRICS:
                figures = self._context.figures
                return Answer(200, figures.render(self._director.listed, len(self._owner.avoided())))
            case Deed.SUSPEND | Deed.RESUME:
                return self._change(order)
            case Deed.DRAIN:
                return self._drain()
            case Deed.ACTIVATE:
                return self._activate()
            case _:
                assert_never(order.deed)

    def _ready(self) -> Answer:
        stage = self._context.course.stage.value
        if not self._context.course.serving:
            return Answer(503, f"no: {stage}\n")
        if not self._context.backends.known:
            return Answer(503, "no: no list of session servers yet\n")
        if not self._accepts():
            return Answer(503, "no: another process takes the clients as yet\n")
        return Answer(200, "yes: takes clients\n")

    def _change(self, order: Order) -> Answer:
        name, keeper = order.server, self._keeper
        if not keeper.known(name):
            return Answer(404, "no: there is no such session server\n")
        if order.deed is Deed.RESUME:
            why = keeper.resume(name)
            return Answer(500, f"no: still out, {why}\n") if why else Answer(200, f"yes: {name} is used again\n")
        why = keeper.suspend(name)
        # Out it is, but an operator who counts on it over a replaced process has to know.
        return Answer(500, f"no: out in this process alone, {why}\n") if why else Answer(200, f"yes: {name} is out\n")

    def _drain(self) -> Answer:
        course = self._context.course
        drain(self._context, self._owner, self._log)
        return Answer(200, f"yes: {course.stage.value}\n")

    def _activate(self) -> Answer:
        was = self._context.course.serving
        if not self._context.course.activate():
            return Answer(409, "no: this process is stopping\n")
        if not was:
            self._log.event("activate")
            self._owner.put(Activate())
        return Answer(200, "yes: serving\n")
