"""What a gateway takes in at most."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """What a gateway takes in at most."""

    requests: int = 2048
    """Requests in progress on the gateway."""
    requests_per_workspace: int = 1024
    """Requests in progress of one workspace."""
    header_bytes: int = 8190
    """The longest request line, or header with its name."""
    headers: int = 64
    """The number of headers."""
    key_bytes: int = 512
    linger_seconds: float = 0.5
    """How long a stopping gateway keeps idle connections of callers open."""
