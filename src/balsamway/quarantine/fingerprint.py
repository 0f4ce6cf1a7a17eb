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
        64-bit number.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    key = "" if request.key is None else str(request.key)
    for part in (request.method, request.host, request.path, key):
        content = part.encode(errors="surrogateescape")
        digest.update(b"%d:" % len(content))
        digest.update(content)
    digest.update(request.body)
    return int.from_bytes(digest.digest())
