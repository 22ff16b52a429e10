"""An HTTP response parsed into the JSON objects of its body. No sockets."""

from __future__ import annotations

import re

import httptools

MAX_OBJECT_BYTES = 4 * 1024 * 1024
HTTP_OK = 200
OVERLOADED_STATUSES = (429, 503)
_STRUCTURAL = re.compile(rb'[{}\[\]"]')
_QUOTE_OR_ESCAPE = re.compile(rb'["\\]')


class HttpError(ValueError):
    """The response is not HTTP, or not the one asked for. The server's fault."""


class HttpBusyError(HttpError):
    """The server has too much to do (429 or 503): each further call makes it worse."""


class JsonObjectSplitter:
    """Splits a stream of bytes into JSON objects, however it was cut or indented; an empty line between two gives b"".

    Only nesting and strings are followed: an error within an object shows when the object is decoded.
    """

    def __init__(self, max_object_bytes: int = MAX_OBJECT_BYTES) -> None:
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()
        self._position = 0  # the bytes before it have been scanned
        self._depth = 0
        self._in_string = False
        self.is_overlong = False
        """An object exceeded the limit: nothing more is read."""

    @property
    def trailing_data(self) -> bytes:
        """What came after the last complete object, blanks apart."""
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
        if len(self._buffer) > self._max_object_bytes:  # an object without end must not fill the memory
            self.is_overlong = True
            self._buffer.clear()
        return objects

    def _find_end(self) -> int | None:
        """Return where the next object, or line between two objects, ends; None until that has arrived."""
        while not self._in_string or self._skip_string():
            # Between objects, a line's end is the end of whatever precedes it: nothing, or something that is no object.
            newline = self._buffer.find(b"\n", self._position) if self._depth == 0 else -1
            limit = newline if newline >= 0 else len(self._buffer)
            mark = _STRUCTURAL.search(self._buffer, self._position, limit)
            if mark is None:
                self._position = limit
                if newline < 0:
                    return None
                self._position += 1
                return self._position
            self._position = mark.end()
            if self._closes_object(mark.group()):
                return self._position
        return None

    def _skip_string(self) -> bool:
        """Advance past the end of the string; False if its end has not arrived."""
        while (mark := _QUOTE_OR_ESCAPE.search(self._buffer, self._position)) is not None:
            if mark.group() == b'"':
                self._in_string = False
                self._position = mark.end()
                return True
            if mark.end() == len(self._buffer):  # the escaped byte has not arrived
                self._position = mark.start()
                return False
            self._position = mark.end() + 1
        self._position = len(self._buffer)
        return False

    def _closes_object(self, mark: bytes) -> bool:
        """Follow one structural byte; True if it ends an outermost object."""
        if mark == b'"':
            self._in_string = True
            return False
        if mark in b"{[":
            self._depth += 1
            return False
        self._depth = max(0, self._depth - 1)
        return self._depth == 0


class JsonStreamParser:
    """Parses an HTTP response; gives the objects of its body, and b"" for an empty line."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._splitter = JsonObjectSplitter()
        self._objects: list[bytes] = []
        self._status = HTTP_OK
        self.is_complete = False
        """The response has ended."""

    def receive_data(self, data: bytes) -> list[bytes]:
        """Add bytes and return the objects that they complete.

        Raises:
            HttpBusyError: The server has too much to do.
            HttpError: The bytes are no HTTP, the status is not 200, or an object exceeds the limit.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(str(error) or "no HTTP") from error
        if self._status in OVERLOADED_STATUSES:
            raise HttpBusyError(f"status {self._status}")
        if self._status != HTTP_OK:
            raise HttpError(f"status {self._status}")
        if self._splitter.is_overlong:
            raise HttpError("an object over the cap")
        objects = self._objects
        self._objects = []
        return objects

    # Called back by httptools.

    def on_headers_complete(self) -> None:
        """Note the status: not before, since a status line cut in its middle shows as a shorter number."""
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Split a piece of the body."""
        self._objects += self._splitter.receive_data(body)

    def on_message_complete(self) -> None:
        """Give an object that was cut short as it is: its decoding fails."""
        if self._splitter.trailing_data:
            self._objects.append(self._splitter.trailing_data)
        self.is_complete = True
