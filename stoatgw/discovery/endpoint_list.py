"""Discovery's list: its objects into entries of the list. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stoatgw.config.deployment import ConfigError, read_address
from stoatgw.decisions.interface import Endpoint, Lifecycle

STATES = {"SERVING": Lifecycle.ACTIVE, "DRAINING": Lifecycle.DRAINING, "DELETED": Lifecycle.REMOVED}


Row = tuple[Endpoint, str, int]  # an entry, and where it is


class EndpointListError(ValueError):
    """An object of the list cannot be read; the message names the field."""


@dataclass(frozen=True, slots=True)
class EndpointListPage:
    """One object of the list: the whole of it, or what changed."""

    version: int
    is_complete: bool
    rows: tuple[Row, ...]


class EndpointListParser:
    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}

    def parse_page(self, data: Any) -> EndpointListPage:
        if not isinstance(data, dict):
            raise EndpointListError("not an object")
        instances = data.get("instances")
        if not isinstance(instances, list):
            raise EndpointListError("instances: not a list")
        whole = data.get("reset", False)
        if not isinstance(whole, bool):
            raise EndpointListError("reset: not a bool")
        version = int(_number(data, "generation", 0))
        return EndpointListPage(version, whole, tuple(self._row(item) for item in instances))

    def _row(self, item: Any) -> Row:
        if not isinstance(item, dict):
            raise EndpointListError("instances: an entry is no object")
        name, state = item.get("instanceId"), item.get("lifecycle")
        if not isinstance(name, str) or not name:
            raise EndpointListError("instanceId: missing")
        if not isinstance(state, str) or state not in STATES:
            raise EndpointListError(f"lifecycle: {str(state)[:40]!r} is unknown")
        try:
            address = read_address(str(item.get("hostPort")), "hostPort")
        except ConfigError as error:
            raise EndpointListError(str(error)) from None
        entry = Endpoint(
            name=name,
            lifecycle=STATES[state],
            zone=self._zones.get(str(item.get("zone")), -1),
            cell=int(_number(item, "cell", 0)),
            machine_kind=self._kinds.get(str(item.get("machineType")), -1),
            weight=float(_number(item, "weight", 1.0)),
            started_us=int(_number(item, "startedAtMs", 0) * 1000),
        )
        return entry, address.host, address.port


def _number(item: dict[str, Any], field: str, default: float) -> float:
    value = item.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < 2**53:
        raise EndpointListError(f"{field}: no number")
    return float(value)
