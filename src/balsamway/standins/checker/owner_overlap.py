"""Find key positions that two targets owned at once."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import GrantHeld, Journal

CLOCK_RESOLUTION_SECONDS = 1e-9
"""Overlaps up to this length are below the clock's resolution and ignored."""


def find_owner_overlaps(journal: Journal) -> list[Violation]:
    """Find grants of different targets that overlap in positions and in time.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such pair of grants.
    """
    by_shard: dict[str, list[GrantHeld]] = defaultdict(list)
    for grant in journal.grants:
        if grant.end > grant.start:
            by_shard[grant.shard].append(grant)
    return [
        violation
        for grants in by_shard.values()
        for violation in _find_overlaps(sorted(grants, key=lambda grant: grant.start))
    ]


def _find_overlaps(grants: list[GrantHeld]) -> list[Violation]:
    found: list[Violation] = []
    active: list[GrantHeld] = []
    for grant in grants:
        min_end = grant.start + CLOCK_RESOLUTION_SECONDS
        active = [earlier for earlier in active if earlier.end > min_end]
        found.extend(
            _violation(earlier, grant)
            for earlier in active
            if _conflict(earlier, grant)
        )
        active.append(grant)
    return found


def _conflict(earlier: GrantHeld, later: GrantHeld) -> bool:
    return earlier.target != later.target and earlier.range.overlaps(later.range)


def _violation(earlier: GrantHeld, later: GrantHeld) -> Violation:
    seconds = min(earlier.end, later.end) - later.start
    first = f"{earlier.target} (epoch {earlier.epoch})"
    second = f"{later.target} (epoch {later.epoch})"
    detail = (
        f"{first} and {second} both owned a part of {later.shard} for {seconds:.6f} s"
    )
    return Violation(Invariant.SOLE_OWNER, detail, later.start)
