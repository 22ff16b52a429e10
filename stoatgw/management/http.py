"""One HTTP/1.1 call into method and path, and an answer into bytes. No sockets."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

CALL_CAP = 16_384  # bytes of a whole call, its body included, which no call needs
PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    method: str
    path: str  # as it came, without its query


@dataclass(frozen=True, slots=True)
class HttpResponse:
    status: int
    body: str  # for people, or the figures
    allow: str = ""  # with 405: the method that is

    def to_bytes(self) -> bytes:
        body = self.body.encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {PHRASES[self.status]}\r\n{allow}Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


class HttpRequestParser:
    """Feeds what comes to httptools until one call is whole; what follows it is passed over."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._size = b"", 0
        self._call: HttpRequest | None = None

    def on_url(self, part: bytes) -> None:
        self._url += part

    def on_message_complete(self) -> None:
        if self._call is not None:
            return
        path = httptools.parse_url(self._url).path or b""
        self._call = HttpRequest(self._parser.get_method().decode("ascii", "replace"), path.decode("ascii"))

    def feed(self, data: bytes) -> HttpRequest | HttpResponse | None:
        """The call, or why there can be none; None until it is whole."""
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnicodeDecodeError):
            # What comes after a whole call may be anything: the call counts.
            return self._call or HttpResponse(400, "no: this is no HTTP/1.1 call\n")
        if self._call is None and self._size > CALL_CAP:
            return HttpResponse(413, f"no: a call holds {CALL_CAP} bytes at most\n")
        return self._call
