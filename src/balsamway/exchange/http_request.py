"""An HTTP request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.exchange.streamed_body import StreamedBody


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that is sent over one connection."""

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    """All headers except those of the body's framing, which are added."""
    body: bytes | StreamedBody = b""
    request_id: str | None = None
    """The id that the response must echo, or None if responses have no id."""

    def encode(self) -> bytes:
        """Return the bytes of the request: the head, and a body of bytes."""
        lines = [f"{self.method} {self.path} HTTP/1.1".encode(errors="surrogateescape")]
        lines.extend(name + b": " + value for name, value in self.headers)
        body = self.body
        if not isinstance(body, bytes):
            lines.append(
                b"Transfer-Encoding: chunked"
                if body.length is None
                else b"Content-Length: %d" % body.length
            )
            body = b""
        elif body or self.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
