"""The interface over which the slices of a shard are learned."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import KeyRange, ShardId


class SliceSource(Protocol):
    """Knows the slices of shards, as this gateway's views have them."""

    def slice_ranges(self, shard: ShardId) -> tuple[KeyRange, ...]:
        """Lists the slices of a shard.

        Args:
            shard: The shard.

        Returns:
            The slices in order; empty where no view is known.
        """
        ...
