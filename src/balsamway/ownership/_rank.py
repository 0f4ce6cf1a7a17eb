"""A ranking of hosts by shard.

It spreads leadership over the hosts and gives each candidate its own turn, so
that hosts do not claim a shard at the same time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.slices import ShardId, Witness


def rank_witnesses(witnesses: Iterable[Witness], shard: ShardId) -> list[Witness]:
    """Sort witnesses by a hash of their host and the shard.

    Args:
        witnesses: The witnesses to rank.
        shard: The shard.

    Returns:
        The same witnesses, in an order that is the same on every host.
    """
    name = str(shard)
    return sorted(witnesses, key=lambda witness: (weight(name, witness.host), witness))
