"""Reads scenario files. An invalid one raises a `ScenarioError`, whose one line names the file and the field."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from stoatgw.config.errors import ConfigError
from stoatgw.config.toml import convert, file_field_names, load_toml
from stoatgw.emulator.world.scenario import Scenario
from stoatgw.emulator.world.scenario_checks import find_problems
from stoatgw.emulator.world.scenario_types import Table
from stoatgw.rebalance.limits import RebalanceLimits


class ScenarioError(ValueError):
    """An invalid scenario; the message names the file and the field."""


def load_scenario(path: Path, changes: tuple[str, ...] = ()) -> Scenario:
    """Read a scenario file.

    Args:
        path: The TOML file.
        changes: Overrides as PATH=VALUE, with VALUE in TOML syntax.

    Raises:
        ScenarioError: The file or an override is invalid.
    """
    try:
        data = load_toml(path)
    except ConfigError as error:
        raise ScenarioError(str(error)) from None
    for change in changes:
        _apply_override(data, change)
    return parse_scenario(data, str(path))


def parse_scenario(data: dict[str, Any], source: str) -> Scenario:
    """Convert and check a parsed TOML document; `source` is its name in error messages.

    Raises:
        ScenarioError: A field is unknown, has an invalid value, or contradicts another.
    """
    known_names = file_field_names([*_all_tables(), RebalanceLimits])
    try:
        scenario = convert(data, Scenario, source, known_names)
    except ConfigError as error:
        raise ScenarioError(str(error)) from None
    for problem in find_problems(scenario):
        raise ScenarioError(f"{source}: {problem.field}: {problem.reason}")
    return scenario


def _all_tables() -> list[type[Table]]:
    """Return `Table` and all its direct and indirect subclasses."""
    tables: list[type[Table]] = [Table]
    for table in tables:
        tables.extend(table.__subclasses__())
    return tables


def _apply_override(data: dict[str, Any], override: str) -> None:
    path, separator, text = override.partition("=")
    names = path.strip().split(".")
    if not separator or not all(names):
        raise ScenarioError(f"--set {override[:80]}: not PATH=VALUE")
    try:
        value = tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        value = text
    container: Any = data
    for name in names[:-1]:
        container = _descend(container, name, path)
    name = names[-1]
    if _is_index(container, name):
        container[int(name)] = value
    elif isinstance(container, dict):
        container[name] = value
    else:
        raise ScenarioError(f"--set {path}: no such field")


def _descend(container: Any, name: str, path: str) -> Any:
    """Return the table or array `name` of `container`; create it as a table if it is missing."""
    if _is_index(container, name):
        return container[int(name)]
    if isinstance(container, dict):
        return container.setdefault(name, {})
    raise ScenarioError(f"--set {path}: no such field")


def _is_index(container: Any, name: str) -> bool:
    return isinstance(container, list) and name.isdigit() and int(name) < len(container)
