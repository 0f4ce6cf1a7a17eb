"""Bodies that the platform's store sends."""

from __future__ import annotations

from typing import Annotated

import msgspec

from balsamway.store.store import StoredObject

Whole = Annotated[int, msgspec.Meta(ge=0)]


class Metadata(msgspec.Struct, frozen=True):
    """What the store adds to an object."""

    name: str
    revision: Whole = 0


class Item(msgspec.Struct, frozen=True):
    """An object; only what its writer put into it matters here."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")

    def stored(self) -> StoredObject:
        """Gives the object in the product's type."""
        return StoredObject(
            self.metadata.name, self.metadata.revision, bytes(self.spec)
        )


class Page(msgspec.Struct, frozen=True):
    """A page of the objects of a kind."""

    items: list[Item]
    revision: Whole = msgspec.field(name="asOf")
    has_more: bool = msgspec.field(name="hasMore", default=False)


class Event(msgspec.Struct, frozen=True):
    """A change of one object."""

    object: Item
    removed: bool = False


class WatchPage(msgspec.Struct, frozen=True):
    """The changes since a revision."""

    events: list[Event]
    revision: Whole = msgspec.field(name="asOf")
