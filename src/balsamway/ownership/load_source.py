"""The interface to the loads that gateways report."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.balance import SliceLoad
    from balsamway.ownership.messages import KeyLoad
    from balsamway.slices import ShardId


class LoadSource(Protocol):
    """The loads of slices and keys, merged over all gateways."""

    def slice_loads(self, shard: ShardId) -> tuple[SliceLoad, ...]:
        """Gives the load of each slice that is known."""
        ...

    def hot_keys(self, shard: ShardId) -> tuple[KeyLoad, ...]:
        """Gives the keys with the most load."""
        ...
