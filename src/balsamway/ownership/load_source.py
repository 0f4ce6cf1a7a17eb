"""The interface to the loads that gateways report."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.balance import SliceLoad
    from balsamway.ownership.messages import KeyLoad
    from balsamway.slices import KeyRange, ShardId


class LoadSource(Protocol):
    """The loads of slices and keys, merged over all gateways."""

    def slice_loads(
        self, shard: ShardId, ranges: Sequence[KeyRange]
    ) -> tuple[SliceLoad, ...]:
        """Return an estimate of the load of each slice.

        Args:
            shard: The shard.
            ranges: The current ranges of the slices, in order.

        Returns:
            One estimate for each slice; empty if no load was reported.
        """
        ...

    def hot_keys(self, shard: ShardId) -> tuple[KeyLoad, ...]:
        """Return the keys with the most load."""
        ...
