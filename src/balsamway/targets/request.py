"""One attempt of a request, as it is sent to a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.slices import ShardId


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """An attempt of a request, as a target receives it."""

    workspace: str
    service: str
    kind: str
    request_id: str
    key: str
    timeout_seconds: float
    """The time left until the caller's deadline when the attempt is sent."""
    body: bytes
    content_type: str = "application/octet-stream"
    shard: ShardId | None = None
    """The shard of the key, or None for a service without exclusive keys."""
    epoch: int = 0
    """The fencing token of the owner's grant."""
