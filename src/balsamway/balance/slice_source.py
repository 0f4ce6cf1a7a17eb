"""The interface that provides the slices of shards."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import KeyRange, ShardId


class SliceSource(Protocol):
    """Provides the slices of shards according to this gateway's views."""

    def ranges_of(self, shard: ShardId) -> tuple[KeyRange, ...]:
        """Return the slices of a shard.

        Args:
            shard: The shard.

        Returns:
            The slices in order, or none if there is no view of the shard.
        """
        ...
