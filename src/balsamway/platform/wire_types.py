"""Response bodies of the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from balsamway.store.store import StoredObject

Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Messages between hosts carry integers of 64 bits."""


class Metadata(msgspec.Struct, frozen=True):
    """The name of an object, and the revision at which it was last written."""

    name: str
    revision: Revision = 0


class Item(msgspec.Struct, frozen=True):
    """An object in the store; `spec` is the value that its writer gave it."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")

    def to_stored_object(self) -> StoredObject:
        """Convert the object to balsamway's own type."""
        return StoredObject(
            self.metadata.name, self.metadata.revision, bytes(self.spec)
        )


class Page(msgspec.Struct, frozen=True):
    """One page of the objects of a kind, as of a revision."""

    items: list[Item]
    revision: Revision = msgspec.field(name="asOf")
    has_more: bool = msgspec.field(name="hasMore", default=False)


class Event(msgspec.Struct, frozen=True):
    """A write or removal of one object."""

    object: Item
    removed: bool = False


class WatchPage(msgspec.Struct, frozen=True):
    """The changes of a kind up to and including a revision."""

    events: list[Event]
    revision: Revision = msgspec.field(name="asOf")
