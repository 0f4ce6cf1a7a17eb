"""The tokens of a demonstration's callers."""

from __future__ import annotations

import hashlib


def token_of(workspace: str) -> str:
    """Gives the token that a workspace's callers present.

    Args:
        workspace: The workspace's name.

    Returns:
        The token; of use only inside a demonstration.
    """
    return f"{workspace}-demonstration"


def token_hash(workspace: str) -> str:
    """Gives the hash of a workspace's token, as configurations hold it.

    Args:
        workspace: The workspace's name.

    Returns:
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(token_of(workspace).encode()).hexdigest()
