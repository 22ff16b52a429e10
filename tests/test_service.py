"""The service's optional components: imported only where configured, started in a fixed order, stopped in reverse."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from stoatgw.config.deployment import Address, parse_deployment
from stoatgw.service.component import ServiceComponent
from stoatgw.service.core import ProxyCore, build_core
from stoatgw.service.optional_components import create_components
from stoatgw.service.shutdown import shut_down
from tests.test_discovery import CONFIG

ROOT = Path(__file__).resolve().parent.parent


def make_core(*, management: bool = False) -> ProxyCore:
    deployment = parse_deployment(CONFIG)
    if management:
        deployment = replace(deployment, management_address=Address("127.0.0.1", 1))
    return build_core(deployment)


def test_no_optional_component_is_imported_before_it_is_configured() -> None:
    code = "import sys, stoatgw.service; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    optional = {"management", "hot_restart", "maintenance", "shared_health_checks"}
    assert not {f"stoatgw.service.{component}" for component in optional} & set(loaded.stdout.split())
    assert not {
        "stoatgw.management",
        "stoatgw.hot_restart.hot_restart",
        "stoatgw.suspension.service",
        "stoatgw.maintenance",
        "stoatgw.membership",
        "stoatgw.rebalance",
        "stoatgw.shared_health_checks",
    } & set(loaded.stdout.split())


@pytest.mark.parametrize(
    ("management", "inherits_socket", "expected"),
    [
        (False, False, []),
        (True, False, ["ManagementComponent"]),
        (False, True, ["HotRestartComponent"]),
        (True, True, ["HotRestartComponent", "ManagementComponent"]),
    ],
)
def test_a_component_is_created_where_it_is_configured(
    monkeypatch: pytest.MonkeyPatch, management: bool, inherits_socket: bool, expected: list[str]
) -> None:
    monkeypatch.delenv("LB_LISTEN_FD", raising=False)
    if inherits_socket:
        monkeypatch.setenv("LB_LISTEN_FD", "3")
    components = create_components(make_core(management=management), None)
    assert [type(component).__name__ for component in components] == expected


class RecordingComponent(ServiceComponent):
    """Records the shutdown's calls to it, with its name."""

    def __init__(self, name: str, calls: list[str], *, is_superseded: bool) -> None:
        self._name = name
        self._calls = calls
        self._is_superseded = is_superseded

    def is_superseded(self) -> bool:
        self._calls.append(f"{self._name} asked")
        return self._is_superseded

    def begin_shutdown(self) -> None:
        self._calls.append(f"{self._name} begins")

    def stop(self) -> None:
        self._calls.append(f"{self._name} stops")


def test_a_handed_over_proxy_without_clients_stops_its_components_in_reverse_order_immediately() -> None:
    calls: list[str] = []

    async def run() -> None:
        components = [RecordingComponent(name, calls, is_superseded=name == "b") for name in ("a", "b")]
        async with asyncio.timeout(0.5):
            await shut_down(make_core(), components)

    asyncio.run(run())
    assert calls == ["a asked", "b asked", "a begins", "b begins", "b stops", "a stops"]
