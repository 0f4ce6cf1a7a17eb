"""One difference between two configurations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ChangeKind(StrEnum):
    """How a value differs between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two configurations."""

    kind: ChangeKind
    path: str
    """Like `services[inventory].kinds[order].idempotent`."""
    before: str
    """The value as JSON; empty where it was added."""
    after: str
    """The value as JSON; empty where it was removed."""

    def __str__(self) -> str:
        match self.kind:
            case ChangeKind.ADDED:
                return f"+ {self.path}: {self.after}"
            case ChangeKind.REMOVED:
                return f"- {self.path}: {self.before}"
            case ChangeKind.CHANGED:
                return f"~ {self.path}: {self.before} -> {self.after}"
