"""The last ledger seen, kept in a file of this proxy: its next process begins with what is out, also with no engine."""

from __future__ import annotations

from pathlib import Path

from stoatgw.kept import write
from stoatgw.maintenance.ledger import BYTES_MOST, Ledger, LedgerError, decode, encode


class RecordError(Exception):
    """The file cannot be read or written; the message names it and says why."""


class Record:
    def __init__(self, folder: Path, name: str) -> None:
        self._path = folder / f"stoatgw-maintenance-{name}"

    def load(self) -> Ledger | None:
        """None without a file. Raises RecordError; the file is left as it is."""
        try:
            with self._path.open("rb") as file:
                return decode(file.read(BYTES_MOST))
        except FileNotFoundError:
            return None
        except OSError as fault:
            raise RecordError(f"{self._path.name}: cannot be read: {fault.strerror}") from None
        except LedgerError as fault:
            raise RecordError(f"{self._path.name}: {fault}") from None

    def save(self, ledger: Ledger) -> None:
        """Raises RecordError, with the file as it was."""
        try:
            write(self._path, encode(ledger))
        except OSError as fault:
            raise RecordError(f"{self._path.name}: cannot be written: {fault.strerror}") from None
