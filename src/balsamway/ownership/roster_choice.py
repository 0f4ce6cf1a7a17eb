"""Chooses the witnesses of a shard over the availability zones."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.ownership._rank import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from balsamway.slices import ShardId, Witness

ROSTER_SIZE = 5


def choose_roster(
    witnesses: Iterable[Witness],
    zones: Mapping[str, str],
    shard: ShardId,
    keep: tuple[Witness, ...] = (),
) -> tuple[Witness, ...]:
    """Chooses an odd number of witnesses, spread over availability zones.

    Args:
        witnesses: The daemons to choose from.
        zones: The availability zone of each host.
        shard: The shard, which decides among equals.
        keep: Witnesses that stay in the roster.

    Returns:
        `ROSTER_SIZE` witnesses, or the greatest odd number that there is.
    """
    chosen = list(keep)
    hosts = {one.host for one in keep}
    free = [one for one in ranked(witnesses, shard) if one.host not in hosts]
    counts: dict[str, int] = defaultdict(int)
    for one in keep:
        counts[zones.get(one.host, "")] += 1
    while free and len(chosen) < ROSTER_SIZE:
        best = min(free, key=lambda one: counts[zones.get(one.host, "")])
        free.remove(best)
        counts[zones.get(best.host, "")] += 1
        chosen.append(best)
    if len(chosen) % 2 == 0 and len(chosen) > len(keep):
        chosen.pop()
    return tuple(chosen)
