"""The subscription to the endpoint list: whether it is active, and when the next attempt to subscribe is due."""

from __future__ import annotations

from stoatgw.decisions.events import EndpointUpdateKind
from stoatgw.decisions.settings import Settings
from stoatgw.decisions.state.balancer_state import PERIOD_US

RETRY_INTERVAL_US = 4 * PERIOD_US
ERROR_BACKOFF_US = PERIOD_US


class EndpointSubscription:
    """The state of the subscription to the endpoint list, derived from the updates received."""

    def __init__(self, settings: Settings) -> None:
        """Create a subscription that is due immediately if the settings require one."""
        self._is_needed = settings.must_subscribe
        self._is_active = not settings.must_subscribe
        self._due_at_us = 0

    def record_update(self, kind: EndpointUpdateKind, now_us: int) -> None:
        """Record an update: an error ends the subscription, and a cached list does not prove that there is one."""
        if kind is EndpointUpdateKind.ERROR:
            self._is_active = not self._is_needed
            self._due_at_us = now_us + ERROR_BACKOFF_US
        elif kind is not EndpointUpdateKind.CACHED:
            self._is_active = True

    def begin_if_due(self, now_us: int) -> bool:
        """Return whether to subscribe now; if so, the next attempt is due after `RETRY_INTERVAL_US`."""
        if self._is_active or now_us < self._due_at_us:
            return False
        self._due_at_us = now_us + RETRY_INTERVAL_US
        return True
