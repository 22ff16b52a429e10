"""Parse an HTTP response into the JSON objects of its body. No sockets."""

from __future__ import annotations

import re

import httptools

MAX_OBJECT_BYTES = 4 * 1024 * 1024
HTTP_OK = 200
OVERLOADED_STATUSES = (429, 503)
_STRUCTURAL = re.compile(rb'[{}\[\]"]')
_QUOTE_OR_ESCAPE = re.compile(rb'["\\]')


class HttpError(ValueError):
    """The response is not HTTP, or not what was requested. The server is at fault."""


class HttpBusyError(HttpError):
    """The server is overloaded (429 or 503), and each further call adds to its load."""


class JsonObjectSplitter:
    """Splits a byte stream into JSON objects, however it is divided into reads or indented.

    An empty line between two objects is returned as b"". Only nesting and strings are tracked: an error within an
    object is detected when that object is decoded.
    """

    def __init__(self, max_object_bytes: int = MAX_OBJECT_BYTES) -> None:
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()
        self._position = 0  # the bytes before it have been scanned
        self._depth = 0
        self._in_string = False
        self.is_overlong = False
        """Whether an object exceeded the limit; all data after that is ignored."""

    @property
    def trailing_data(self) -> bytes:
        """The data after the last complete object, without white space around it."""
        return bytes(self._buffer).strip()

    def receive_data(self, data: bytes) -> list[bytes]:
        """Add bytes and return the objects that they complete."""
        if self.is_overlong:
            return []
        self._buffer += data
        objects: list[bytes] = []
        while (end := self._find_end()) is not None:
            objects.append(bytes(self._buffer[:end]).strip())
            del self._buffer[:end]
            self._position = 0
        if len(self._buffer) > self._max_object_bytes:  # an object that never ends must not exhaust the memory
            self.is_overlong = True
            self._buffer.clear()
        return objects

    def _find_end(self) -> int | None:
        """Return the end of the next object, or of a line between two objects; None until that is received."""
        while not self._in_string or self._skip_string():
            # Between objects, a newline ends what precedes it: an empty line, or text that is not an object.
            newline = self._buffer.find(b"\n", self._position) if self._depth == 0 else -1
            limit = newline if newline >= 0 else len(self._buffer)
            token = _STRUCTURAL.search(self._buffer, self._position, limit)
            if token is None:
                self._position = limit
                if newline < 0:
                    return None
                self._position += 1
                return self._position
            self._position = token.end()
            if self._closes_object(token.group()):
                return self._position
        return None

    def _skip_string(self) -> bool:
        """Advance past the end of the string; return False if its end has not been received."""
        while (token := _QUOTE_OR_ESCAPE.search(self._buffer, self._position)) is not None:
            if token.group() == b'"':
                self._in_string = False
                self._position = token.end()
                return True
            if token.end() == len(self._buffer):  # the escaped byte has not been received
                self._position = token.start()
                return False
            self._position = token.end() + 1
        self._position = len(self._buffer)
        return False

    def _closes_object(self, token: bytes) -> bool:
        """Track one structural byte; return True if it ends an outermost object."""
        if token == b'"':
            self._in_string = True
            return False
        if token in b"{[":
            self._depth += 1
            return False
        self._depth = max(0, self._depth - 1)
        return self._depth == 0


class JsonStreamParser:
    """Parses an HTTP response into the objects of its body, with b"" for an empty line."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._splitter = JsonObjectSplitter()
        self._objects: list[bytes] = []
        self._status = HTTP_OK
        self.is_complete = False
        """Whether the response has ended."""

    def receive_data(self, data: bytes) -> list[bytes]:
        """Add bytes and return the objects that they complete.

        Raises:
            HttpBusyError: The server is overloaded.
            HttpError: The bytes are not HTTP, the status is not 200, or an object exceeds the limit.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(str(error) or "not HTTP") from error
        if self._status in OVERLOADED_STATUSES:
            raise HttpBusyError(f"status {self._status}")
        if self._status != HTTP_OK:
            raise HttpError(f"status {self._status}")
        if self._splitter.is_overlong:
            raise HttpError("an object exceeds the size limit")
        objects = self._objects
        self._objects = []
        return objects

    # Callbacks of httptools.

    def on_headers_complete(self) -> None:
        """Record the status only here: its number would be truncated while the status line is incomplete."""
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Split a piece of the body into objects."""
        self._objects += self._splitter.receive_data(body)

    def on_message_complete(self) -> None:
        """Add a truncated last object unchanged: decoding it fails."""
        if self._splitter.trailing_data:
            self._objects.append(self._splitter.trailing_data)
        self.is_complete = True
