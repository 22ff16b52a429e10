"""Where the scenarios are that come with the program."""

from __future__ import annotations

from pathlib import Path

from stoatgw.lab.errors import LabError

PROJECT_ROOT = Path(__file__).resolve().parent.parent.parent


def scenario_folder() -> Path:
    """The folder of the scenarios that come with the program."""
    folder = PROJECT_ROOT / "scenarios"
    return folder if folder.is_dir() else Path("scenarios")


def find_scenario(name: str) -> Path:
    """A file's path as given, or the file of a scenario that comes with the program.

    Raises:
        LabError: There is neither.
    """
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    file = scenario_folder() / f"{name}.toml"
    if not file.exists():
        raise LabError(f"{name}: no such file, and no scenario of that name in {scenario_folder()}")
    return file
