"""The interface that counts the load of slices."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import ShardId


class LoadRecorder(Protocol):
    """Counts the load of slices, as this gateway sees it."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Counts one attempt that a target answered.

        Args:
            shard: The shard of the key.
            position: The position of the key.
            busy_seconds: The time from sending to the answer.
        """
        ...
