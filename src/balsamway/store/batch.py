"""A batch of consecutive changes of one kind."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.store.store import StoredObject


@dataclass(frozen=True, slots=True)
class Batch:
    """All changes of a kind between two revisions of the store."""

    since: int
    """The revision of the last change before this batch."""
    revision: int
    """The revision up to which the batch contains all changes."""
    changed: tuple[StoredObject, ...]
    """The written objects, as of `revision`."""
    removed: tuple[str, ...]
    """The names of the objects that no longer exist as of `revision`."""

    @property
    def is_empty(self) -> bool:
        """Whether the batch contains no change."""
        return not self.changed and not self.removed
