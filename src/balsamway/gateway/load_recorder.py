"""The interface that records the load of slices."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import ShardId


class LoadRecorder(Protocol):
    """Record the load of slices, as this gateway measures it."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Record one attempt that a target completed.

        Args:
            shard: The shard of the key.
            position: The hash position of the key.
            busy_seconds: The time from sending the attempt to its response.
        """
        ...
