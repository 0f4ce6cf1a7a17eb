"""Decode the store's responses, also where they contain odd objects.

Anyone with access to the store can write a value that `msgspec` rejects, such
as one that is nested too deeply. It must hide none of the other objects.
"""

from __future__ import annotations

import asyncio
import re
from typing import Any

import msgspec

from balsamway.outcome import Malformed
from balsamway.platform import wire_types as wire

TOKENS_PER_SLICE = 10_000
"""The tokens that are scanned before other tasks of the event loop run. They
take a few ms."""
MAX_INDEX_DIGITS = 9
"""Bounds the digits of an index that are read, whatever the text contains."""
UNREADABLE_SPEC = msgspec.Raw(b"")
"""Replaces a value that can't be decoded. No decoder takes it for valid."""
UNREADABLE_NAME = ""
"""Replaces a name that can't be decoded."""
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
"""What `msgspec.json.decode` raises; the second for a value that is nested
too deeply."""

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\Z)|[\[{]+|[\]}]+', re.DOTALL)
_METADATA = re.compile(rb'"metadata"\s*:\s*(\d+)')
_SPEC = re.compile(rb'"spec"\s*:\s*(\d+)')


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
    outline, parts = await _split(body, 3)
    page = msgspec.json.decode(outline, type=_PageOutline)
    items = [await _decode_item(parts[index]) for index in page.items]
    return wire.Page(items, page.revision, page.has_more)


async def _decode_watch_page(body: bytes) -> wire.WatchPage:
    outline, parts = await _split(body, 3)
    page = msgspec.json.decode(outline, type=_WatchOutline)
    events = [await _decode_event(parts[index]) for index in page.events]
    return wire.WatchPage(events, page.revision)


async def _decode_event(body: bytes) -> wire.Event:
    try:
        return msgspec.json.decode(body, type=wire.Event)
    except DECODE_ERRORS:
        outline, parts = await _split(body, 2)
    event = msgspec.json.decode(outline, type=_EventOutline)
    return wire.Event(await _decode_item(parts[event.object]), event.removed)


async def _decode_item(body: bytes) -> wire.Item:
    try:
        return msgspec.json.decode(body, type=wire.Item)
    except DECODE_ERRORS:
        outline, parts = await _split(body, 2)
    # The finalizers within may be nested too deeply as well.
    metadata, _ = await _split(_part(_METADATA, outline, parts), 2)
    try:
        decoded = msgspec.json.decode(metadata, type=wire.Metadata)
    except DECODE_ERRORS:
        return wire.Item(wire.Metadata(_decode_name(metadata)), UNREADABLE_SPEC)
    return wire.Item(decoded, _decode_spec(_part(_SPEC, outline, parts)))


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


def _part(member: re.Pattern[bytes], outline: bytes, parts: list[bytes]) -> bytes:
    """Return the part that stands for a member of an outlined object.

    Args:
        member: Finds the index of the part.
        outline: The object, with its nested values replaced by indexes.
        parts: The nested values.

    Returns:
        The part; empty if the member is missing or not a nested value.
    """
    found = member.search(outline)
    index = len(parts) if found is None else int(found[1][:MAX_INDEX_DIGITS])
    return parts[index] if index < len(parts) else b""


async def _split(body: bytes, depth: int) -> tuple[bytes, list[bytes]]:
    """Cut the objects and arrays of one nesting depth out of a JSON text.

    Args:
        body: The text. What is cut out need not be valid, apart from its
            brackets and quotation marks.
        depth: The nesting depth; the outermost object has depth 1.

    Returns:
        The text with each of these values replaced by its index, and the
        values.
    """
    outline: list[bytes] = []
    parts: list[bytes] = []
    level = begin = end = 0
    for count, token in enumerate(_TOKEN.finditer(body), 1):
        if count % TOKENS_PER_SLICE == 0:
            await asyncio.sleep(0)
        start, length = token.start(), token.end() - token.start()
        if body[start] in b"[{":
            if level < depth <= level + length:
                begin = start + depth - level - 1
            level += length
        elif body[start] in b"]}":
            if level - length < depth <= level:
                outline += (body[end:begin], b"%d" % len(parts))
                end = start + level - depth + 1
                parts.append(body[begin:end])
            level -= length
    outline.append(body[end:])
    return b"".join(outline), parts
