"""Finds positions that two targets held at once."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import GrantHeld, Journal

CLOCK_RESOLUTION_SECONDS = 1e-9


def owner_overlap(journal: Journal) -> list[Violation]:
    """Finds grants of two targets that share positions and time.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each pair of grants.
    """
    by_shard: dict[str, list[GrantHeld]] = defaultdict(list)
    for held in journal.grants:
        if held.end > held.start:
            by_shard[held.shard].append(held)
    return [
        violation
        for grants in by_shard.values()
        for violation in _overlaps(sorted(grants, key=lambda held: held.start))
    ]


def _overlaps(grants: list[GrantHeld]) -> list[Violation]:
    found: list[Violation] = []
    running: list[GrantHeld] = []
    for held in grants:
        latest_end = held.start + CLOCK_RESOLUTION_SECONDS
        running = [earlier for earlier in running if earlier.end > latest_end]
        found.extend(
            _violation(earlier, held) for earlier in running if _clash(earlier, held)
        )
        running.append(held)
    return found


def _clash(one: GrantHeld, other: GrantHeld) -> bool:
    return one.target != other.target and one.range.overlaps(other.range)


def _violation(earlier: GrantHeld, later: GrantHeld) -> Violation:
    seconds = min(earlier.end, later.end) - later.start
    one = f"{earlier.target} (epoch {earlier.epoch})"
    other = f"{later.target} (epoch {later.epoch})"
    detail = f"{one} and {other} both held a part of {later.shard} for {seconds:.6f} s"
    return Violation(Invariant.SOLE_OWNER, detail, later.start)
