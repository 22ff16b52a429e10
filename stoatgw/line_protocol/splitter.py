"""Lines of a byte stream, however it is divided into reads. No sockets."""

from __future__ import annotations

MAX_LINE_BYTES = 4096  # including its CRLF


class LineSplitter:
    """Splits a byte stream into complete lines without their CRLF, and buffers an incomplete one."""

    __slots__ = ("_buffer", "_max_line_bytes", "is_overlong")

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        self.is_overlong = False
        """Whether a line exceeded the limit; all data after that is ignored."""

    @property
    def trailing_data(self) -> bytes:
        """The data after the last complete line."""
        return bytes(self._buffer)

    def receive_data(self, data: bytes | bytearray | memoryview) -> list[bytes]:
        """Add data and return the lines that it completes."""
        if self.is_overlong:
            return []
        self._buffer += data
        if b"\n" not in self._buffer:
            # A peer that never ends its line must not exhaust the memory.
            self._check_length(len(self._buffer))
            return []
        *lines, self._buffer = self._buffer.split(b"\n")
        complete: list[bytes] = []
        for line in lines:
            if not self._check_length(len(line) + 1):
                return complete
            complete.append(bytes(line[:-1] if line.endswith(b"\r") else line))
        self._check_length(len(self._buffer))
        return complete

    def _check_length(self, size_bytes: int) -> bool:
        """Return whether a line of this length is allowed; if not, mark the stream as overlong."""
        if size_bytes > self._max_line_bytes:
            self.is_overlong = True
            self._buffer.clear()
        return not self.is_overlong


def split_lines(data: bytes) -> list[bytes]:
    """Split data into its complete lines without their CRLF; an incomplete one at the end is left out."""
    lines = data.split(b"\n")
    lines.pop()
    return [line[:-1] if line.endswith(b"\r") else line for line in lines]


class LineAligner:
    """Passes a byte stream on, unchanged, in pieces that end with a complete line.

    What follows the last complete line is held back until that line is complete. A line over the limit, which no peer
    may send, is not held back but passed on as it is received.

    Attributes:
        is_aligned: Whether what was passed on ends with a complete line, not in the middle of one over the limit.
    """

    __slots__ = ("_partial_line", "is_aligned")

    def __init__(self) -> None:
        self._partial_line = b""
        self.is_aligned = True

    @property
    def has_partial_line(self) -> bool:
        """Whether the beginning of a line is held back, as its end has not been received."""
        return bool(self._partial_line)

    def receive_data(self, data: bytes) -> bytes:
        """Add data and return what can be passed on; b"" while no line is complete."""
        end = data.rfind(b"\n") + 1
        if end == len(data) and not self._partial_line:
            self.is_aligned = True
            return data
        if not end and not self.is_aligned:
            return data
        complete = self._partial_line + data[:end] if end else b""
        self._partial_line = data[end:] if end else self._partial_line + data
        self.is_aligned = True
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.is_aligned = False
            complete += self.flush()
        return complete

    def flush(self) -> bytes:
        """Return and clear the incomplete line that is held back, such as when the stream ends in the middle of it."""
        partial_line = self._partial_line
        self._partial_line = b""
        return partial_line
