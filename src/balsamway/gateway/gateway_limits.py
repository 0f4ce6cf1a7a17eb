"""The limits on what a gateway accepts from callers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """The limits on what a gateway accepts from callers."""

    requests: int = 2048
    """The maximum number of requests in progress on the gateway."""
    requests_per_workspace: int = 1024
    """The maximum number of requests in progress of one workspace."""
    header_bytes: int = 8190
    """The maximum size of the request line, and of a header with its name."""
    headers: int = 64
    """The maximum number of headers."""
    key_bytes: int = 512
    """The maximum size of a key."""
    linger_seconds: float = 0.5
    """How long a stopping gateway keeps callers' idle connections open."""
