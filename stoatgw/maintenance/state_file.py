"""Persists the last rollout state that this proxy has seen, so that its next process can start without the engine."""

from __future__ import annotations

from pathlib import Path

from stoatgw.atomic_file import write_atomically
from stoatgw.maintenance.rollout_state import MAX_STATE_BYTES, RolloutState, RolloutStateError, decode, encode


class RolloutStateFileError(Exception):
    """The file cannot be read or written; the message names the file and the reason."""


class RolloutStateFile:
    """The file `stoatgw-maintenance-NAME` in a directory, replaced atomically."""

    def __init__(self, directory: Path, plan_name: str) -> None:
        self._path = directory / f"stoatgw-maintenance-{plan_name}"

    def load(self) -> RolloutState | None:
        """Load the persisted state; None without a file.

        Raises:
            RolloutStateFileError: The file cannot be read; it is left unchanged.
        """
        try:
            with self._path.open("rb") as file:
                return decode(file.read(MAX_STATE_BYTES))
        except FileNotFoundError:
            return None
        except OSError as error:
            raise RolloutStateFileError(f"{self._path.name}: cannot be read: {error.strerror}") from None
        except RolloutStateError as error:
            raise RolloutStateFileError(f"{self._path.name}: {error}") from None

    def save(self, state: RolloutState) -> None:
        """Persist a state.

        Raises:
            RolloutStateFileError: The file cannot be written; it is left unchanged.
        """
        try:
            write_atomically(self._path, encode(state))
        except OSError as error:
            raise RolloutStateFileError(f"{self._path.name}: cannot be written: {error.strerror}") from None
