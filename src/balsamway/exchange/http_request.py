"""A request as it goes over a connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to one target."""

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    """All but the length of the body, which is added."""
    body: bytes = b""
    request_id: str | None = None
    """The id that the answer must echo; None where answers carry none."""

    def encode(self) -> bytes:
        """Gives the bytes of the request."""
        lines = [f"{self.method} {self.path} HTTP/1.1".encode(errors="surrogateescape")]
        lines.extend(name + b": " + value for name, value in self.headers)
        if self.body or self.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"Content-Length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body
