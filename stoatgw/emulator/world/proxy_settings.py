"""Builds the settings of a scenario's proxies."""

from __future__ import annotations

from typing import Any

from stoatgw.emulator.world.scenario import Scenario

TIMER_GRANULARITY_US = 5000
DIAL_TIMEOUT_US = 250_000
ANSWER_SLACK_US = 50_000
MIN_WARM_UP_FRACTION = 0.01  # used if servers may start without any capacity: the setting must be greater than 0


def proxy_zone(scenario: Scenario, proxy: int) -> int:
    """Return the zone in which a proxy runs."""
    return proxy % len(scenario.fleet.zones)


def proxy_settings(scenario: Scenario, proxy: int) -> dict[str, Any]:
    """Return the table `settings` of LB_CONFIG; the virtual driver configures its policies with it as well."""
    return {
        "areas": list(scenario.fleet.zones),
        "kinds": [kind.name for kind in scenario.fleet.kinds],
        "locality": proxy_zone(scenario, proxy),
        "balancers": scenario.proxies.count,
        "rank": proxy,
        "granularity_us": TIMER_GRANULARITY_US,
        "bounds": _bounds(scenario),
        "domain": {
            "mode": "proxy",
            "groups": True,
            "tells_load": False,
            "tells_delay": scenario.module.tells_delay,
            "message_aim_us": [round(each.aim_ms * 1000) for each in scenario.clients.classes],
        },
        "prices": {"probe": scenario.module.probe_price},
        "profiles": [
            {
                "name": each.name,
                "deadline_us": round(each.deadline_ms * 1000),
                "on_time_us": round(each.on_time_ms * 1000),
                "idempotency": "retryable",
                "worth": each.worth,
            }
            for each in scenario.clients.classes
        ],
        "report": {"via": "on_probe", "columns": ["errors_per_s", "outstanding", "utilization", "x0"]},
        "rules": _rules(scenario),
    }


def _bounds(scenario: Scenario) -> dict[str, Any]:
    module = scenario.module
    return {
        "probes": module.probes,
        "cancelling": True,
        "parallel_tries": False,
        "retry_after": module.retry_after_most_ms > 0,
        "max_attempts": module.max_attempts,
        "max_retry_after_us": int(module.retry_after_most_ms * 1000),
        "dial_timeout_us": DIAL_TIMEOUT_US,
    }


def _rules(scenario: Scenario) -> dict[str, Any]:
    kinds = scenario.fleet.kinds
    module = scenario.module
    return {
        "drain_grace_us": round(module.drain_grace_ms * 1000),
        "answer_slack_us": ANSWER_SLACK_US,
        "cold_from": min(kind.cold_from[0] for kind in kinds) or MIN_WARM_UP_FRACTION,
        "cold_us": round(max(kind.cold_s[1] for kind in kinds) * 1e6),
        "fall_multiple": module.fall_multiple,
        "fall_us": round(module.fall_ms * 1000),
    }
