"""Parses one HTTP/1.1 request into method and path, and encodes a response. No sockets."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_REQUEST_BYTES = 16_384  # of a complete request, including its body; no operation needs as much
REASON_PHRASES = {
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
    """A complete request; `path` is the path as it was sent, without the query."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response; `body` is a text for operators or the metrics, `allow` is the allowed method of a 405 response."""

    status: int
    body: str
    allow: str = ""

    def to_bytes(self) -> bytes:
        """Encode the response; the connection is closed after it."""
        body = self.body.encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {REASON_PHRASES[self.status]}\r\n"
            f"{allow}Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


class HttpRequestParser:
    """Parses one request with httptools; data after it is ignored."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self._request: HttpRequest | None = None

    def on_url(self, fragment: bytes) -> None:
        """Append a fragment of the request target; called by httptools."""
        self._url += fragment

    def on_message_complete(self) -> None:
        """Record the first request and ignore any later one; called by httptools at the end of each request."""
        if self._request is not None:
            return
        path = httptools.parse_url(self._url).path or b""
        self._request = HttpRequest(self._parser.get_method().decode("ascii", "replace"), path.decode("ascii"))

    def feed(self, data: bytes) -> HttpRequest | HttpResponse | None:
        """Parse more data.

        Returns:
            The request, an error response to data that is not a request, or None until the request is complete.
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnicodeDecodeError):
            # Invalid data after a complete request is ignored.
            return self._request or HttpResponse(400, "no: this is no HTTP/1.1 call\n")
        if self._request is None and self._received_bytes > MAX_REQUEST_BYTES:
            return HttpResponse(413, f"no: a call holds {MAX_REQUEST_BYTES} bytes at most\n")
        return self._request
