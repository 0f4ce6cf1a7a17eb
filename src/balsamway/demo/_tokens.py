"""The tokens of a demonstration's callers."""

from __future__ import annotations

import hashlib


def token_of(member: str) -> str:
    """Gives the token that a member's callers present.

    Args:
        member: The member's name.

    Returns:
        The token; of use only inside a demonstration.
    """
    return f"{member}-demonstration"


def token_hash(member: str) -> str:
    """Gives the hash of a member's token, as configurations hold it.

    Args:
        member: The member's name.

    Returns:
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(token_of(member).encode()).hexdigest()
