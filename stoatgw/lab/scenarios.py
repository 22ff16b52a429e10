"""Location of the scenarios that are shipped with the program."""

from __future__ import annotations

from pathlib import Path

from stoatgw.lab.errors import LabError

PROJECT_ROOT = Path(__file__).resolve().parent.parent.parent


def scenario_folder() -> Path:
    """Return the folder of the scenarios that are shipped with the program."""
    folder = PROJECT_ROOT / "scenarios"
    return folder if folder.is_dir() else Path("scenarios")


def find_scenario(name: str) -> Path:
    """Return the path of a scenario, given as a file or by the name of a scenario shipped with the program.

    Raises:
        LabError: Neither a file nor a shipped scenario has that name.
    """
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    file = scenario_folder() / f"{name}.toml"
    if not file.exists():
        raise LabError(f"{name}: no such file, and no scenario with that name in {scenario_folder()}")
    return file
