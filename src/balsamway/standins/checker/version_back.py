"""Finds hosts whose configuration went back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.checker.violation import Invariant, Violation

if TYPE_CHECKING:
    from balsamway.standins.journal import Journal, VersionSeen


def version_back(journal: Journal) -> list[Violation]:
    """Finds versions in force that were lower than an earlier one.

    Args:
        journal: The journal to check.

    Returns:
        One violation for each step back, within one run of a host's daemon.
    """
    highest: dict[tuple[str, int, str], int] = {}
    found = []
    for seen in sorted(journal.versions, key=lambda seen: seen.time):
        key = (seen.host, seen.incarnation, seen.workspace)
        before = highest.get(key, seen.version)
        if seen.version < before:
            found.append(_violation(seen, before))
        highest[key] = max(before, seen.version)
    return found


def _violation(seen: VersionSeen, before: int) -> Violation:
    step = f"from version {before} of {seen.workspace} to {seen.version}"
    detail = f"{seen.host} went back {step}"
    return Violation(Invariant.VERSION_GROWS, detail, seen.time)
