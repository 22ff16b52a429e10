"""Whether the endpoint list is subscribed to, and when a subscription is due."""

from __future__ import annotations

from stoatgw.decisions.events import EndpointUpdateKind
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.balancer_state import PERIOD_US

RETRY_INTERVAL_US = 4 * PERIOD_US
ERROR_BACKOFF_US = PERIOD_US


class EndpointSubscription:
    """The subscription to the endpoint list, as its updates show it."""

    def __init__(self, settings: Settings) -> None:
        """Create a subscription that is due at once if the settings need one."""
        self._is_needed = settings.must_subscribe
        self._is_active = not settings.must_subscribe
        self._due_at_us = 0

    def record_update(self, kind: EndpointUpdateKind, now_us: int) -> None:
        """Note what an update's kind shows: an error ends the subscription, a cached list shows none."""
        if kind is EndpointUpdateKind.ERROR:
            self._is_active = not self._is_needed
            self._due_at_us = now_us + ERROR_BACKOFF_US
        elif kind is not EndpointUpdateKind.CACHED:
            self._is_active = True

    def begin_if_due(self, now_us: int) -> bool:
        """Whether to subscribe now; the next time is due an interval later."""
        if self._is_active or now_us < self._due_at_us:
            return False
        self._due_at_us = now_us + RETRY_INTERVAL_US
        return True
