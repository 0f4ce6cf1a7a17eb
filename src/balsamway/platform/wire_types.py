"""Response bodies of the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from balsamway.store.era import MAX_REVISION, version_of
from balsamway.store.store import StoredObject

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
"""A revision that can be part of a version."""


class Metadata(msgspec.Struct, frozen=True):
    """The name of an object, and the revision at which it was last written."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    revision: Revision = 0


class Item(msgspec.Struct, frozen=True):
    """An object in the store; `spec` is the value that its writer gave it."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")

    def to_stored_object(self, era: int) -> StoredObject:
        """Convert the object to balsamway's own type.

        Args:
            era: The era of the store that has the object.
        """
        version = version_of(era, self.metadata.revision)
        return StoredObject(self.metadata.name, version, bytes(self.spec))


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
