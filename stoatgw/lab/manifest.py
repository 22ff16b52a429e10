"""The manifest of an experiment: the requested runs and the versions of the program and its libraries."""

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

FORMAT_VERSION = 1
LIBRARIES = ("numpy", "uvloop", "msgspec", "hdrhistogram")
GIT_TIMEOUT_S = 10.0


class Manifest(msgspec.Struct, kw_only=True):
    """The contents of an experiment's folder.

    Attributes:
        format: Version of the folder's layout.
        scenario: The scenario's name.
        scenario_digest: Digest of the scenario after its changes.
        changes: Scenario fields changed on the command line, as PATH=VALUE.
        driver: `virtual` or `loopback`.
        policies: Names of the policies that place the sessions.
        seeds: Seeds of the runs.
        commit: Git commit or release of the program.
        versions: Versions of Python and the libraries, by name.
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
        """Return whether both describe the same experiment; seeds and policies may differ."""
        return self._identity() == other._identity()

    def _identity(self) -> tuple[int, str, str, str]:
        return self.format, self.scenario_digest, self.driver, self.commit


def manifest_file(folder: Path) -> Path:
    """Return the path of an experiment's manifest."""
    return folder / "manifest.json"


def read_manifest(folder: Path) -> Manifest:
    """Read an experiment's manifest.

    Raises:
        LabError: The folder contains no readable manifest.
    """
    file = manifest_file(folder)
    try:
        return msgspec.json.decode(file.read_bytes(), type=Manifest)
    except OSError as error:
        raise LabError(f"{file}: cannot be read: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise LabError(f"{file}: {error}") from error


def write_manifest(folder: Path, manifest: Manifest) -> None:
    """Write an experiment's manifest.

    Raises:
        OSError: The file cannot be written.
    """
    write_atomically(manifest_file(folder), msgspec.json.format(msgspec.json.encode(manifest), indent=1) + b"\n")


def program_commit() -> str:
    """Return the program's commit, marked if the work tree differs from it; without git, its release."""
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
    """Return the versions of Python and of the libraries that results depend on."""
    versions = {"python": platform.python_version()}
    for library in LIBRARIES:
        try:
            versions[library] = version(library)
        except PackageNotFoundError:
            versions[library] = "none"
    return versions
