"""LB_CONFIG of the measured proxy: its limits are never reached, and its servers report a low load."""

from __future__ import annotations

from typing import Any

from stoatgw.lab.bench.endpoints import DISCOVERY_HOST, PORT, PROXY_HOST, SERVER_COUNT, server_host

ZONE = "near"
MACHINE_TYPE = "toy"


def descriptors_for(sessions: int) -> int:
    """Return the number of descriptors that a process needs for a number of sessions, with a margin."""
    return 4 * sessions + 4096


def make_proxy_config(sessions: int) -> dict[str, Any]:
    """Return LB_CONFIG for a number of established sessions."""
    return {
        "name": "bench",
        "listen": f"{PROXY_HOST}:{PORT}",
        "discovery": f"{DISCOVERY_HOST}:{PORT}",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 4096, "sockets": descriptors_for(sessions)},
        "known": {"generation": 1, "reset": True, "instances": [_instance(index) for index in range(SERVER_COUNT)]},
        "settings": _settings(),
    }


def _instance(index: int) -> dict[str, Any]:
    return {
        "instanceId": f"s-{index}",
        "hostPort": f"{server_host(index)}:{PORT}",
        "zone": ZONE,
        "machineType": MACHINE_TYPE,
        "cell": 0,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
    }


def _settings() -> dict[str, Any]:
    return {
        "areas": [ZONE],
        "kinds": [MACHINE_TYPE],
        "locality": 0,
        "balancers": 1,
        "rank": 0,
        "granularity_us": 5000,
        "bounds": {
            "probes": True,
            "cancelling": True,
            "retry_after": True,
            "parallel_tries": False,
            "max_attempts": 6,
            "max_retry_after_us": 1_000_000,
            "dial_timeout_us": 250_000,
        },
        "domain": {"mode": "proxy", "groups": True, "message_aim_us": [1_000_000], "tells_delay": True},
        "prices": {"probe": 0.004},
        "profiles": [
            {"name": "p", "deadline_us": 2_000_000, "on_time_us": 500_000, "idempotency": "retryable", "worth": 1}
        ],
        "report": {"via": "on_probe", "columns": ["outstanding", "x0"]},
        "rules": {
            "drain_grace_us": 3_000_000,
            "cold_from": 0.13,
            "cold_us": 24_000_000,
            "fall_multiple": 4,
            "fall_us": 1_000_000,
        },
    }
