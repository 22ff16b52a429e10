"""Bytes into lines, whatever way they were cut. No sockets."""

from __future__ import annotations

MAX_LINE_BYTES = 4096  # bytes in a line, its CRLF included


class LineSplitter:
    """Gives whole lines without their CRLF; keeps the rest for later."""

    def __init__(self, cap: int = MAX_LINE_BYTES) -> None:
        self._cap = cap
        self._rest = bytearray()
        self.is_overlong = False  # a line went over the cap: nothing more is read

    def receive_data(self, data: bytes | bytearray | memoryview) -> list[bytes]:
        if self.is_overlong:
            return []
        self._rest += data
        if b"\n" not in self._rest:
            # Guards against a peer that never ends its line: memory stays bounded.
            self._check(len(self._rest))
            return []
        *lines, rest = self._rest.split(b"\n")
        self._rest = rest
        whole: list[bytes] = []
        for line in lines:
            if not self._check(len(line) + 1):
                return whole
            whole.append(bytes(line[:-1] if line.endswith(b"\r") else line))
        self._check(len(rest))
        return whole

    def _check(self, size: int) -> bool:
        if size > self._cap:
            self.is_overlong = True
            self._rest.clear()
        return not self.is_overlong

    @property
    def trailing_data(self) -> bytes:
        """What came after the last whole line."""
        return bytes(self._rest)
