"""An HTTP request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that is sent over one connection."""

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    """All headers except Content-Length, which `encode` adds."""
    body: bytes = b""
    request_id: str | None = None
    """The id that the response must echo, or None if responses have no id."""

    def encode(self) -> bytes:
        """Return the bytes of the request, head and body."""
        lines = [f"{self.method} {self.path} HTTP/1.1".encode(errors="surrogateescape")]
        lines.extend(name + b": " + value for name, value in self.headers)
        if self.body or self.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"Content-Length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body
