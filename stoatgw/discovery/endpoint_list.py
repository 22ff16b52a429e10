"""Parse discovery's JSON objects into pages of the endpoint list. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stoatgw.backends.backend import ListedEndpoint
from stoatgw.config.deployment import Address, parse_address
from stoatgw.config.errors import ConfigError
from stoatgw.decisions.interface import Endpoint, Lifecycle

LIFECYCLES = {"SERVING": Lifecycle.ACTIVE, "DRAINING": Lifecycle.DRAINING, "DELETED": Lifecycle.REMOVED}
UNKNOWN_INDEX = -1  # of a zone or machine kind that the settings do not contain
MAX_NUMBER = 2**53  # integers below it are exact as floats


class EndpointListError(ValueError):
    """An object of the list cannot be parsed; the message names the field. Discovery is at fault."""


@dataclass(frozen=True, slots=True)
class EndpointListPage:
    """One object of the list: a full snapshot, or the changes since the previous version."""

    version: int
    is_complete: bool
    entries: tuple[ListedEndpoint, ...]


class EndpointListParser:
    """Parses decoded JSON into pages, with zones and machine kinds as indices into the settings' lists."""

    def __init__(self, zones: tuple[str, ...], machine_kinds: tuple[str, ...]) -> None:
        self._zones = {name: index for index, name in enumerate(zones)}
        self._machine_kinds = {name: index for index, name in enumerate(machine_kinds)}

    def parse_page(self, data: Any) -> EndpointListPage:
        """Parse one object of the list.

        Raises:
            EndpointListError: A field is missing or of the wrong type.
        """
        if not isinstance(data, dict):
            raise EndpointListError("not an object")
        instances = data.get("instances")
        if not isinstance(instances, list):
            raise EndpointListError("instances: not a list")
        is_complete = data.get("reset", False)
        if not isinstance(is_complete, bool):
            raise EndpointListError("reset: not a bool")
        version = int(_parse_number(data, "generation", 0))
        return EndpointListPage(version, is_complete, tuple(self._parse_entry(item) for item in instances))

    def _parse_entry(self, item: Any) -> ListedEndpoint:
        if not isinstance(item, dict):
            raise EndpointListError("instances: an entry is not an object")
        name = item.get("instanceId")
        if not isinstance(name, str) or not name:
            raise EndpointListError("instanceId: missing")
        lifecycle = _parse_lifecycle(item.get("lifecycle"))
        address = _parse_address(item.get("hostPort"))
        endpoint = Endpoint(
            name=name,
            lifecycle=lifecycle,
            zone=self._zones.get(str(item.get("zone")), UNKNOWN_INDEX),
            cell=int(_parse_number(item, "cell", 0)),
            machine_kind=self._machine_kinds.get(str(item.get("machineType")), UNKNOWN_INDEX),
            weight=float(_parse_number(item, "weight", 1.0)),
            started_us=int(_parse_number(item, "startedAtMs", 0) * 1000),
        )
        return ListedEndpoint(endpoint, address.host, address.port)


def _parse_lifecycle(value: Any) -> Lifecycle:
    if not isinstance(value, str) or value not in LIFECYCLES:
        raise EndpointListError(f"lifecycle: {str(value)[:40]!r} is unknown")
    return LIFECYCLES[value]


def _parse_address(value: Any) -> Address:
    try:
        return parse_address(str(value), "hostPort")
    except ConfigError as error:
        raise EndpointListError(str(error)) from error


def _parse_number(item: dict[str, Any], field: str, default: float) -> float:
    value = item.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < MAX_NUMBER:
        raise EndpointListError(f"{field}: not a number")
    return float(value)
