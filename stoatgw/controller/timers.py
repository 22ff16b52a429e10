"""Timers of the controller. Each posts a message, so that it is handled in the controller's task."""

from __future__ import annotations

import asyncio

from stoatgw.clock import Clock
from stoatgw.controller.decision_runner import DecisionRunner
from stoatgw.controller.messages import Message, MessageQueue, TimerFired
from stoatgw.decisions.interface import SetTimer, TimerExpired


def post_later(queue: MessageQueue, delay_s: float, message: Message) -> asyncio.TimerHandle:
    """Post a message after a delay, unless the returned handle is cancelled before."""
    return asyncio.get_running_loop().call_later(delay_s, queue.post, message)


class PolicyTimers:
    """The timers that the policy sets; they are never cancelled."""

    def __init__(self, decisions: DecisionRunner, clock: Clock, queue: MessageQueue) -> None:
        self._decisions = decisions
        self._clock = clock
        self._queue = queue

    def perform_set_timer(self, action: SetTimer) -> None:
        """Start a timer."""
        self._schedule(action.token, action.at_us)

    def handle_fired(self, message: TimerFired) -> None:
        """Notify the policy, or reschedule a timer that the event loop, which counts milliseconds, fired early."""
        if self._decisions.now_us < message.at_us:
            self._schedule(message.token, message.at_us)
        else:
            self._decisions.notify(TimerExpired(message.token))

    def _schedule(self, token: int, at_us: int) -> None:
        delay_s = max(0.0, (at_us - self._clock.now_us()) / 1e6)
        post_later(self._queue, delay_s, TimerFired(token, at_us))
