"""Parses one HTTP/1.1 request into method and path, and encodes a response. No sockets."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_REQUEST_BYTES = 16_384  # of a complete request, its body included; no operation needs as much
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
    """A complete request; `path` is as it was sent, without its query."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response; `body` is for people or holds the metrics, `allow` names the right method beside a 405."""

    status: int
    body: str
    allow: str = ""

    def to_bytes(self) -> bytes:
        """The response as it is sent; the connection closes after it."""
        body = self.body.encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {REASON_PHRASES[self.status]}\r\n"
            f"{allow}Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


class HttpRequestParser:
    """Feeds data to httptools until one request is complete; what follows it is ignored."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self._request: HttpRequest | None = None

    def on_url(self, part: bytes) -> None:
        """Called by httptools with each part of the request's target."""
        self._url += part

    def on_message_complete(self) -> None:
        """Called by httptools at the end of each request; only the first one counts."""
        if self._request is not None:
            return
        path = httptools.parse_url(self._url).path or b""
        self._request = HttpRequest(self._parser.get_method().decode("ascii", "replace"), path.decode("ascii"))

    def feed(self, data: bytes) -> HttpRequest | HttpResponse | None:
        """The request, or the response to data that is none; None until the request is complete."""
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnicodeDecodeError):
            # Whatever follows a complete request: the request counts.
            return self._request or HttpResponse(400, "no: this is no HTTP/1.1 call\n")
        if self._request is None and self._received_bytes > MAX_REQUEST_BYTES:
            return HttpResponse(413, f"no: a call holds {MAX_REQUEST_BYTES} bytes at most\n")
        return self._request
