"""The manifest of an experiment: what was asked for, and with which program."""

from __future__ import annotations

import platform
import subprocess
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import msgspec

from stoatgw import __version__
from stoatgw.atomic_file import write_atomically
from stoatgw.lab.errors import LabError
from stoatgw.lab.scenarios import PROJECT_ROOT

FORMAT = 1
LIBRARIES = ("numpy", "uvloop", "msgspec", "hdrhistogram")
GIT_TIMEOUT_S = 10.0


class Manifest(msgspec.Struct, kw_only=True):
    """What an experiment's folder holds.

    Attributes:
        format: Version of the folder's layout.
        scenario: The scenario's name.
        scenario_digest: Digest of the scenario with its changes.
        changes: Changed fields, as PATH=VALUE.
        driver: `virtual` or `loopback`.
        policies: What decides, by name.
        seeds: Seeds of the runs.
        commit: Version of the program.
        versions: Versions of Python and the libraries.
    """

    format: int
    scenario: str
    scenario_digest: str = msgspec.field(name="digest")
    changes: list[str]
    driver: str
    policies: list[str]
    seeds: list[int]
    commit: str
    versions: dict[str, str]

    def is_same_experiment(self, other: Manifest) -> bool:
        """Whether both ask for the same, but for how many seeds and which policies."""
        return self._identity() == other._identity()

    def _identity(self) -> tuple[int, str, str, str]:
        return self.format, self.scenario_digest, self.driver, self.commit


def manifest_file(folder: Path) -> Path:
    """Where an experiment's manifest is."""
    return folder / "manifest.json"


def read_manifest(folder: Path) -> Manifest:
    """Read an experiment's manifest.

    Raises:
        LabError: The folder holds none that can be read.
    """
    file = manifest_file(folder)
    try:
        return msgspec.json.decode(file.read_bytes(), type=Manifest)
    except OSError as error:
        raise LabError(f"{file}: cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise LabError(f"{file}: {error}") from error


def write_manifest(folder: Path, manifest: Manifest) -> None:
    """Write an experiment's manifest. Raises OSError."""
    write_atomically(manifest_file(folder), msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n")


def program_commit() -> str:
    """The commit of the program that runs, with a mark where the tree differs from it; its release without git."""
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"],
            cwd=PROJECT_ROOT,
            capture_output=True,
            text=True,
            timeout=GIT_TIMEOUT_S,
            check=True,
        )
    except (OSError, subprocess.SubprocessError):
        return f"release {__version__}"
    return described.stdout.strip()


def library_versions() -> dict[str, str]:
    """Versions of Python and of the libraries that results depend on."""
    versions = {"python": platform.python_version()}
    for library in LIBRARIES:
        try:
            versions[library] = version(library)
        except PackageNotFoundError:
            versions[library] = "none"
    return versions
