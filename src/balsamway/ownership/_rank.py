"""Ranks hosts for a shard, so that leadership spreads and no claims race."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.slices import ShardId, Witness


def ranked(witnesses: Iterable[Witness], shard: ShardId) -> list[Witness]:
    """Orders daemons by a hash of their host and the shard.

    Args:
        witnesses: The daemons.
        shard: The shard.

    Returns:
        The same daemons; each host gets the same order.
    """
    name = str(shard)
    return sorted(witnesses, key=lambda one: (weight(name, one.host), one))
