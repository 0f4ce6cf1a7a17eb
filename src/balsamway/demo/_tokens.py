"""Derives the tokens of a demonstration's callers."""

from __future__ import annotations

import hashlib


def caller_token(workspace: str) -> str:
    """Return the token that a workspace's callers send.

    Args:
        workspace: The workspace's name.

    Returns:
        The token. It can be guessed from the name, so it must not be used
        outside a demonstration.
    """
    return f"{workspace}-demonstration"


def token_hash(workspace: str) -> str:
    """Return the hash of a workspace's token, as a configuration stores it.

    Args:
        workspace: The workspace's name.

    Returns:
        The SHA-256 hash in hexadecimal.
    """
    return hashlib.sha256(caller_token(workspace).encode()).hexdigest()
