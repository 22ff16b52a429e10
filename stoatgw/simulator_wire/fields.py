"""The fields of one line: a keyword and values, separated by tabs. The value `-` means absent."""

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

    Each reading method takes the field's name for errors, and raises WireError if the field is missing, absent
    without a default, or cannot be parsed.

    Attributes:
        line_number: The line's number in the input, starting at 1.
    """

    def __init__(self, line: str, line_number: int, field_count: int | None) -> None:
        """Split a line; `field_count` is the required number of fields, None for any number.

        Raises:
            WireError: The line has another number of fields.
        """
        self.line_number = line_number
        self._fields = line.split(SEPARATOR)
        self._next_index = 1
        if field_count is not None and len(self._fields) - 1 != field_count:
            found = len(self._fields) - 1
            raise WireError(f"line {line_number}: {self._fields[0]} has {found} fields where {field_count} belong")

    def error(self, field: str, reason: str) -> WireError:
        """Return an error that names the line and the field."""
        return WireError(f"line {self.line_number}: {self._fields[0]}: field {field}: {reason}")

    def text(self, field: str) -> str:
        """Read a text."""
        return self._parse(field, self._next_field(field), str)

    def integer(self, field: str, default: int | None = None) -> int:
        """Read an integer; return the default if it is absent."""
        text = self._next_field(field)
        if text is None and default is not None:
            return default
        return self._parse(field, text, int)

    def optional_integer(self, field: str) -> int | None:
        """Read an integer; return None if it is absent."""
        text = self._next_field(field)
        return None if text is None else self._parse(field, text, int)

    def number(self, field: str, default: float | None = None) -> float:
        """Read a number; return the default if it is absent."""
        text = self._next_field(field)
        if text is None and default is not None:
            return default
        return self._parse(field, text, float)

    def enum(self, field: str, kind: type[E]) -> E:
        """Read a member of an enumeration by its value."""
        return self._parse(field, self._next_field(field), kind)

    def flag(self, field: str) -> bool:
        """Read a boolean, `0` or `1`."""
        return self._parse(field, self._next_field(field), _parse_flag)

    def load_report(self, field: str) -> tuple[float | None, ...]:
        """Read numbers separated by commas, None for each absent one; return an empty report if the field is absent."""
        text = self._next_field(field)
        return () if text is None else self._parse(field, text, _parse_load_report)

    def payload(self, field: str) -> bytes:
        """Read bytes in hexadecimal; return no bytes if the field is absent."""
        text = self._next_field(field)
        return b"" if text is None else self._parse(field, text, bytes.fromhex)

    def remaining(self) -> list[str]:
        """Return the fields that are not read yet, unparsed."""
        return self._fields[self._next_index :]

    def _next_field(self, field: str) -> str | None:
        if self._next_index >= len(self._fields):
            raise self.error(field, "missing")
        text = self._fields[self._next_index]
        self._next_index += 1
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
