"""HTTP answers into the JSON objects of their body. No sockets."""

from __future__ import annotations

import re

import httptools

OBJECT_CAP = 4 * 1024 * 1024
_MARKS = re.compile(rb'[{}\[\]"]')
_STRING_MARKS = re.compile(rb'["\\]')


class HttpError(ValueError):
    """The answer is no HTTP, or not the one wanted."""


class HttpBusyError(HttpError):
    """The server has too much to do (429 or 503): each further call makes it worse."""


class JsonObjectSplitter:
    """Bytes into whole JSON objects, however they are cut or indented; an empty line between two gives b"".

    Only nesting and strings are followed: what is wrong within an object shows when it is read.
    """

    def __init__(self, cap: int = OBJECT_CAP) -> None:
        self._cap, self._held = cap, bytearray()
        self._depth, self._in_string, self._at = 0, False, 0  # `_at`: looked at up to there
        self.overlong = False  # an object went over the cap: nothing more is read

    @property
    def rest(self) -> bytes:
        """What came after the last whole object, blanks apart."""
        return bytes(self._held).strip()

    def feed(self, data: bytes) -> list[bytes]:
        if self.overlong:
            return []
        self._held += data
        found: list[bytes] = []
        while (end := self._object_end()) is not None:
            found.append(bytes(self._held[:end]).strip())
            del self._held[:end]
            self._at = 0
        if len(self._held) > self._cap:  # guards against an object without end: memory stays bounded
            self.overlong = True
            self._held.clear()
        return found

    def _object_end(self) -> int | None:
        """Where the next object or empty line ends, if it has come; goes on where the last look ended."""
        held = self._held
        while True:
            if self._in_string:
                mark = _STRING_MARKS.search(held, self._at)
                if mark is None:
                    self._at = len(held)
                    return None
                if mark.group() == b'"':
                    self._in_string, self._at = False, mark.end()
                elif mark.end() < len(held):
                    self._at = mark.end() + 1
                else:  # what it escapes has not come yet
                    self._at = mark.start()
                    return None
                continue
            if self._depth == 0:
                # Between objects a line ends what stands there: nothing, or what is no object.
                line = held.find(b"\n", self._at)
                mark = _MARKS.search(held, self._at, line if line >= 0 else len(held))
                if mark is None:
                    self._at = len(held)
                    if line < 0:
                        return None
                    self._at = line + 1
                    return line + 1
            else:
                mark = _MARKS.search(held, self._at)
                if mark is None:
                    self._at = len(held)
                    return None
            self._at = mark.end()
            if mark.group() == b'"':
                self._in_string = True
            elif mark.group() in b"{[":
                self._depth += 1
            else:
                self._depth = max(0, self._depth - 1)
                if self._depth == 0:
                    return mark.end()


class JsonStreamParser:
    """Feeds an HTTP answer to httptools; gives the body's objects, and b"" for an empty line."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._objects = JsonObjectSplitter()
        self._found: list[bytes] = []
        self._status = 200
        self.done = False

    def on_headers_complete(self) -> None:
        # Not before: a status line cut in its middle shows as a shorter number.
        self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._found += self._objects.feed(body)

    def on_message_complete(self) -> None:
        if self._objects.rest:
            self._found.append(self._objects.rest)  # cut short: told as a bad object
        self.done = True

    def feed(self, data: bytes) -> list[bytes]:
        """Raises HttpError, HttpBusyError."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(str(error) or "no HTTP") from None
        if self._status in (429, 503):
            raise HttpBusyError(f"status {self._status}")
        if self._status != 200:
            raise HttpError(f"status {self._status}")
        if self._objects.overlong:
            raise HttpError("an object over the cap")
        found, self._found = self._found, []
        return found
