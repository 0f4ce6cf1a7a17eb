"""Changes of one kind that follow on one another."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.store.store import StoredObject


@dataclass(frozen=True, slots=True)
class Batch:
    """All changes after one revision of the store up to another."""

    since: int
    """The revision of the change before these."""
    revision: int
    """The revision up to which these are all changes."""
    changed: tuple[StoredObject, ...]
    """The objects as of `revision`."""
    removed: tuple[str, ...]
    """The names of the objects that are not there as of `revision`."""

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not self.changed and not self.removed
