"""The fields of one line: a keyword and values, separated by tabs. A lone `-` is an absent value."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from stoatgw.simulator_wire.errors import WireError

T = TypeVar("T")
E = TypeVar("E", bound=Enum)
SEPARATOR = "\t"
ABSENT = "-"


class FieldReader:
    """Reads the fields of a line from left to right.

    All reading methods take the field's name, for errors, and raise WireError where the field is missing, absent
    without a default, or cannot be read.

    Attributes:
        line_number: The line's number in the input, from 1.
    """

    def __init__(self, line: str, line_number: int, field_count: int | None) -> None:
        """Split a line; `field_count` is how many fields it must have, None for any number.

        Raises:
            WireError: It has another number of fields.
        """
        self.line_number = line_number
        self._parts = line.split(SEPARATOR)
        self._next = 1
        if field_count is not None and len(self._parts) - 1 != field_count:
            found = len(self._parts) - 1
            raise WireError(f"line {line_number}: {self._parts[0]} has {found} fields where {field_count} belong")

    def error(self, field: str, reason: str) -> WireError:
        """An error that names the line and the field."""
        return WireError(f"line {self.line_number}: {self._parts[0]}: field {field}: {reason}")

    def text(self, field: str) -> str:
        """Any text."""
        return self._parse(field, self._take(field), str)

    def integer(self, field: str, default: int | None = None) -> int:
        """A whole number, or the default where it is absent."""
        text = self._take(field)
        if text is None and default is not None:
            return default
        return self._parse(field, text, int)

    def optional_integer(self, field: str) -> int | None:
        """A whole number, or None where it is absent."""
        text = self._take(field)
        return None if text is None else self._parse(field, text, int)

    def number(self, field: str, default: float | None = None) -> float:
        """A number, or the default where it is absent."""
        text = self._take(field)
        if text is None and default is not None:
            return default
        return self._parse(field, text, float)

    def enum(self, field: str, kind: type[E]) -> E:
        """A member of an enumeration, by its value."""
        return self._parse(field, self._take(field), kind)

    def flag(self, field: str) -> bool:
        """`0` or `1`."""
        return self._parse(field, self._take(field), _parse_flag)

    def load_report(self, field: str) -> tuple[float | None, ...]:
        """Numbers separated by commas, None for each that is absent; empty where the report is absent."""
        text = self._take(field)
        return () if text is None else self._parse(field, text, _parse_load_report)

    def payload(self, field: str) -> bytes:
        """Bytes in hexadecimal; empty where they are absent."""
        text = self._take(field)
        return b"" if text is None else self._parse(field, text, bytes.fromhex)

    def remaining(self) -> list[str]:
        """The fields that were not read yet, as they stand in the line."""
        return self._parts[self._next :]

    def _take(self, field: str) -> str | None:
        if self._next >= len(self._parts):
            raise self.error(field, "missing")
        text = self._parts[self._next]
        self._next += 1
        return None if text == ABSENT else text

    def _parse(self, field: str, text: str | None, parse: Callable[[str], T]) -> T:
        if text is None:
            raise self.error(field, "must not be absent")
        try:
            return parse(text)
        except (ValueError, OverflowError) as error:
            raise self.error(field, f"cannot read {text[:40]!r}") from error


def _parse_flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(text)
    return text == "1"


def _parse_load_report(text: str) -> tuple[float | None, ...]:
    return tuple(None if part in (ABSENT, "") else float(part) for part in text.split(","))
