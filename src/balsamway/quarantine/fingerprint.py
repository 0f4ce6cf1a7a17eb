"""What a request has in common with its retries."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.entry import EntryRequest

FINGERPRINT_BYTES = 8
"""A collision among a few thousand suspects is not to be expected."""


def fingerprint(request: EntryRequest) -> int:
    """Return a hash that a request shares with its callers' retries.

    A retry has another id, deadline and connection, and other headers may
    differ as well. The host and the path select the route.

    Args:
        request: The request.

    Returns:
        The hash of method, host, path, query, key and body, as an unsigned
        64-bit number. Of a streamed body, the length and the first part
        count: the rest has not arrived when the request is sent.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    key = "" if request.key is None else str(request.key)
    for part in (request.method, request.host, request.path, key):
        content = part.encode(errors="surrogateescape")
        digest.update(b"%d:" % len(content))
        digest.update(content)
    body = request.body
    if isinstance(body, bytes):
        digest.update(body)
    else:
        digest.update(b"stream:%d:" % (-1 if body.length is None else body.length))
        digest.update(body.first_digest)
    return int.from_bytes(digest.digest())
