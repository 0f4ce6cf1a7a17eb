"""Choice of a shard's witnesses over the availability zones."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.ownership._rank import rank_witnesses

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from balsamway.slices import ShardId, Witness

MAX_ROSTER_SIZE = 5
"""The size of a roster while enough hosts are live."""


def choose_roster(
    witnesses: Iterable[Witness],
    zones: Mapping[str, str],
    shard: ShardId,
    keep: tuple[Witness, ...] = (),
) -> tuple[Witness, ...]:
    """Choose an odd number of witnesses, spread over availability zones.

    Args:
        witnesses: The witnesses to choose from.
        zones: The availability zone of each host.
        shard: The shard, whose ranking of hosts decides between equals.
        keep: Witnesses that stay in the roster.

    Returns:
        `MAX_ROSTER_SIZE` witnesses, or the greatest odd number available.
    """
    chosen = list(keep)
    kept_hosts = {witness.host for witness in keep}
    free = [
        witness
        for witness in rank_witnesses(witnesses, shard)
        if witness.host not in kept_hosts
    ]
    counts: dict[str, int] = defaultdict(int)
    for witness in keep:
        counts[zones.get(witness.host, "")] += 1
    while free and len(chosen) < MAX_ROSTER_SIZE:
        best = min(free, key=lambda witness: counts[zones.get(witness.host, "")])
        free.remove(best)
        counts[zones.get(best.host, "")] += 1
        chosen.append(best)
    if len(chosen) % 2 == 0 and len(chosen) > len(keep):
        chosen.pop()
    return tuple(chosen)
