"""Discovery's list: its objects into entries of the list. No sockets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stoatgw.config.deployment import ConfigError, read_address
from stoatgw.decisions.interface import Lifecycle, ServerEntry

STATES = {"SERVING": Lifecycle.ON, "DRAINING": Lifecycle.FADING, "DELETED": Lifecycle.OFF}


Row = tuple[ServerEntry, str, int]  # an entry, and where it is


class ListError(ValueError):
    """An object of the list cannot be read; the message names the field."""


@dataclass(frozen=True, slots=True)
class Page:
    """One object of the list: the whole of it, or what changed."""

    version: int
    whole: bool
    rows: tuple[Row, ...]


class ListReader:
    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._zones = {name: index for index, name in enumerate(zones)}
        self._kinds = {name: index for index, name in enumerate(kinds)}

    def page(self, data: Any) -> Page:
        if not isinstance(data, dict):
            raise ListError("not an object")
        instances = data.get("instances")
        if not isinstance(instances, list):
            raise ListError("instances: not a list")
        whole = data.get("reset", False)
        if not isinstance(whole, bool):
            raise ListError("reset: not a bool")
        version = int(_number(data, "generation", 0))
        return Page(version, whole, tuple(self._row(item) for item in instances))

    def _row(self, item: Any) -> Row:
        if not isinstance(item, dict):
            raise ListError("instances: an entry is no object")
        name, state = item.get("instanceId"), item.get("lifecycle")
        if not isinstance(name, str) or not name:
            raise ListError("instanceId: missing")
        if not isinstance(state, str) or state not in STATES:
            raise ListError(f"lifecycle: {str(state)[:40]!r} is unknown")
        try:
            address = read_address(str(item.get("hostPort")), "hostPort")
        except ConfigError as error:
            raise ListError(str(error)) from None
        entry = ServerEntry(
            server=name,
            lifecycle=STATES[state],
            zone=self._zones.get(str(item.get("zone")), -1),
            cell=int(_number(item, "cell", 0)),
            kind=self._kinds.get(str(item.get("machineType")), -1),
            weight=float(_number(item, "weight", 1.0)),
            last_start_us=int(_number(item, "startedAtMs", 0) * 1000),
        )
        return entry, address.host, address.port


def _number(item: dict[str, Any], field: str, default: float) -> float:
    value = item.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < 2**53:
        raise ListError(f"{field}: no number")
    return float(value)
