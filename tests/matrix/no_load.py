from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.slices import ShardId


class NoLoad:
    """A LoadRecorder that discards all load."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        return
