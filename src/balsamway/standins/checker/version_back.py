"""Find hosts that adopted an older configuration version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, VersionSeen


def find_version_decreases(journal: Journal) -> list[Violation]:
    """Find versions that were lower than one in force on the same host before.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each such step within one incarnation of a host.
    """
    highest: dict[tuple[str, int, str], int] = {}
    violations = []
    for seen in sorted(journal.versions, key=lambda seen: seen.time):
        source = (seen.host, seen.incarnation, seen.workspace)
        highest_before = highest.get(source, seen.version)
        if seen.version < highest_before:
            violations.append(_violation(seen, highest_before))
        highest[source] = max(highest_before, seen.version)
    return violations


def _violation(seen: VersionSeen, highest_before: int) -> Violation:
    step = f"from version {highest_before} of {seen.workspace} to {seen.version}"
    detail = f"{seen.host} went back {step}"
    return Violation(Invariant.VERSION_GROWS, detail, seen.time)
