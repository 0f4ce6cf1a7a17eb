"""Cut a JSON text into its outline and nested values, without decoding it."""

from __future__ import annotations

import asyncio
import re

TOKENS_PER_SLICE = 10_000
"""The tokens that are scanned before other tasks of the event loop run. They
take a few ms."""
MAX_INDEX_DIGITS = 9
"""Bounds the digits of an index that are read, whatever the text contains."""

_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\Z)|[\[{]+|[\]}]+', re.DOTALL)


async def split_json(body: bytes, depth: int) -> tuple[bytes, list[bytes]]:
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


def find_part(member: str, outline: bytes, parts: list[bytes]) -> bytes:
    """Return the part that stands for a member of an outlined object.

    Args:
        member: The name of the member, in letters.
        outline: The object, with its nested values replaced by indexes.
        parts: The nested values.

    Returns:
        The part; empty if the member is missing or not a nested value.
    """
    found = re.search(rb'"%b"\s*:\s*(\d+)' % member.encode(), outline)
    index = len(parts) if found is None else int(found[1][:MAX_INDEX_DIGITS])
    return parts[index] if index < len(parts) else b""
