"""The last ledger seen, kept in a file of this proxy: its next process begins with what is out, also with no engine."""

from __future__ import annotations

from pathlib import Path

from stoatgw.atomic_file import write_atomically
from stoatgw.maintenance.rollout_state import BYTES_MOST, RolloutState, RolloutStateError, decode, encode


class RolloutStateFileError(Exception):
    """The file cannot be read or written; the message names it and says why."""


class RolloutStateFile:
    def __init__(self, folder: Path, name: str) -> None:
        self._path = folder / f"stoatgw-maintenance-{name}"

    def load(self) -> RolloutState | None:
        """None without a file. Raises RecordError; the file is left as it is."""
        try:
            with self._path.open("rb") as file:
                return decode(file.read(BYTES_MOST))
        except FileNotFoundError:
            return None
        except OSError as fault:
            raise RolloutStateFileError(f"{self._path.name}: cannot be read: {fault.strerror}") from None
        except RolloutStateError as fault:
            raise RolloutStateFileError(f"{self._path.name}: {fault}") from None

    def save(self, ledger: RolloutState) -> None:
        """Raises RecordError, with the file as it was."""
        try:
            write_atomically(self._path, encode(ledger))
        except OSError as fault:
            raise RolloutStateFileError(f"{self._path.name}: cannot be written: {fault.strerror}") from None
