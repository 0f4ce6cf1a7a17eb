"""Decode the store's responses, also where they contain odd objects.

Anyone with access to the store can write a value that `msgspec` rejects, such
as one that is nested too deeply. It must hide none of the other objects.
"""

from __future__ import annotations

from typing import Any

import msgspec

from balsamway.json_outline import find_part, split_json
from balsamway.outcome import Malformed
from balsamway.partial_decoder import DECODE_ERRORS
from balsamway.platform import wire_types as wire

UNREADABLE_SPEC = msgspec.Raw(b"")
"""Replaces a value that can't be decoded. No decoder takes it for valid."""
UNREADABLE_NAME = ""
"""Replaces a name that can't be decoded."""


class _Name(msgspec.Struct, frozen=True):
    name: str


class _PageOutline(msgspec.Struct, frozen=True):
    """A page whose items are replaced by their indexes."""

    items: list[int]
    revision: wire.Revision = msgspec.field(name="asOf")
    has_more: bool = msgspec.field(name="hasMore", default=False)


class _WatchOutline(msgspec.Struct, frozen=True):
    """A watch page whose events are replaced by their indexes."""

    events: list[int]
    revision: wire.Revision = msgspec.field(name="asOf")


class _EventOutline(msgspec.Struct, frozen=True):
    """An event whose object is replaced by its index."""

    object: int
    removed: bool = False


async def decode_response(body: bytes, cls: type) -> Any:
    """Decode a response body.

    An object that can't be decoded has `UNREADABLE_SPEC` and, where that
    can't be read either, `UNREADABLE_NAME`.

    Args:
        body: The response body.
        cls: `Item`, `Page` or `WatchPage`.

    Returns:
        An instance of the class, or `Malformed` if the body is not a response
        of the store.
    """
    try:
        return msgspec.json.decode(body, type=cls)
    except DECODE_ERRORS as error:
        reason = str(error)
    try:
        if cls is wire.Page:
            return await _decode_page(body)
        if cls is wire.WatchPage:
            return await _decode_watch_page(body)
        item = await _decode_item(body)
    except (*DECODE_ERRORS, LookupError):
        return Malformed(reason)
    return Malformed(reason) if item.metadata.name == UNREADABLE_NAME else item


async def _decode_page(body: bytes) -> wire.Page:
    outline, parts = await split_json(body, 3)
    page = msgspec.json.decode(outline, type=_PageOutline)
    items = [await _decode_item(parts[index]) for index in page.items]
    return wire.Page(items, page.revision, page.has_more)


async def _decode_watch_page(body: bytes) -> wire.WatchPage:
    outline, parts = await split_json(body, 3)
    page = msgspec.json.decode(outline, type=_WatchOutline)
    events = [await _decode_event(parts[index]) for index in page.events]
    return wire.WatchPage(events, page.revision)


async def _decode_event(body: bytes) -> wire.Event:
    try:
        return msgspec.json.decode(body, type=wire.Event)
    except DECODE_ERRORS:
        outline, parts = await split_json(body, 2)
    event = msgspec.json.decode(outline, type=_EventOutline)
    return wire.Event(await _decode_item(parts[event.object]), event.removed)


async def _decode_item(body: bytes) -> wire.Item:
    try:
        return msgspec.json.decode(body, type=wire.Item)
    except DECODE_ERRORS:
        outline, parts = await split_json(body, 2)
    # The finalizers within may be nested too deeply as well.
    metadata, _ = await split_json(find_part("metadata", outline, parts), 2)
    try:
        decoded = msgspec.json.decode(metadata, type=wire.Metadata)
    except DECODE_ERRORS:
        return wire.Item(wire.Metadata(_decode_name(metadata)), UNREADABLE_SPEC)
    return wire.Item(decoded, _decode_spec(find_part("spec", outline, parts)))


def _decode_name(metadata: bytes) -> str:
    try:
        return msgspec.json.decode(metadata, type=_Name).name
    except DECODE_ERRORS:
        return UNREADABLE_NAME


def _decode_spec(body: bytes) -> msgspec.Raw:
    try:
        return msgspec.json.decode(body, type=msgspec.Raw)
    except DECODE_ERRORS:
        return UNREADABLE_SPEC
