"""Finds members by the hashes of their callers' tokens."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration.member_configuration import MemberConfiguration


def hash_token(token: str) -> str:
    """Hashes a token as questionnaires and configurations give it.

    Args:
        token: The token as callers present it.

    Returns:
        SHA-256, in hexadecimal.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


class TokenIndex:
    """The members by the hashes of their tokens.

    A hash that two members have names neither, so that no caller reaches
    the services of another member.
    """

    def __init__(self) -> None:
        """Starts without members."""
        self._holders: dict[str, list[str]] = {}
        self._hashes: dict[str, tuple[str, ...]] = {}

    def put(self, configuration: MemberConfiguration) -> None:
        """Replaces the tokens of a member.

        Args:
            configuration: The member's configuration.
        """
        member = configuration.member
        for token_hash in self._hashes.get(member, ()):
            self._holders[token_hash].remove(member)
            if not self._holders[token_hash]:
                del self._holders[token_hash]
        hashes = tuple(dict.fromkeys(configuration.token_hashes))
        self._hashes[member] = hashes
        for token_hash in hashes:
            self._holders.setdefault(token_hash, []).append(member)

    def find(self, token: str) -> str | None:
        """Finds the member of a token.

        Args:
            token: The token as the caller sent it.

        Returns:
            The member's name, or None where not exactly one has the token.
        """
        token_hash = hash_token(token)
        holders = self._holders.get(token_hash, ())
        if len(holders) != 1:
            return None
        member = holders[0]
        known = (h for h in self._hashes[member] if hmac.compare_digest(h, token_hash))
        return member if next(known, None) else None

    def shared(self, configuration: MemberConfiguration) -> Iterable[str]:
        """Names the other members that have a token of this one.

        Args:
            configuration: The member's configuration.

        Returns:
            The members' names, in order.
        """
        found = {
            holder
            for token_hash in configuration.token_hashes
            for holder in self._holders.get(token_hash, ())
        }
        return sorted(found - {configuration.member})
