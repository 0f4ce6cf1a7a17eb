"""Finds workspaces by the hashes of their callers' tokens."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


def hash_token(token: str) -> str:
    """Hashes a token as questionnaires and configurations give it.

    Args:
        token: The token as callers present it.

    Returns:
        SHA-256, in hexadecimal.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


class TokenIndex:
    """The workspaces by the hashes of their tokens.

    A hash that two workspaces have names neither, so that no caller reaches
    the services of another workspace.
    """

    def __init__(self) -> None:
        """Starts without workspaces."""
        self._holders: dict[str, list[str]] = {}
        self._hashes: dict[str, tuple[str, ...]] = {}

    def put(self, configuration: WorkspaceConfiguration) -> None:
        """Replaces the tokens of a workspace.

        Args:
            configuration: The workspace's configuration.
        """
        workspace = configuration.workspace
        for token_hash in self._hashes.get(workspace, ()):
            self._holders[token_hash].remove(workspace)
            if not self._holders[token_hash]:
                del self._holders[token_hash]
        hashes = tuple(dict.fromkeys(configuration.token_hashes))
        self._hashes[workspace] = hashes
        for token_hash in hashes:
            self._holders.setdefault(token_hash, []).append(workspace)

    def find(self, token: str) -> str | None:
        """Finds the workspace of a token.

        Args:
            token: The token as the caller sent it.

        Returns:
            The workspace's name, or None where not exactly one has the token.
        """
        token_hash = hash_token(token)
        holders = self._holders.get(token_hash, ())
        if len(holders) != 1:
            return None
        workspace = holders[0]
        known = (
            h for h in self._hashes[workspace] if hmac.compare_digest(h, token_hash)
        )
        return workspace if next(known, None) else None

    def shared(self, configuration: WorkspaceConfiguration) -> Iterable[str]:
        """Names the other workspaces that have a token of this one.

        Args:
            configuration: The workspace's configuration.

        Returns:
            The workspaces' names, in order.
        """
        found = {
            holder
            for token_hash in configuration.token_hashes
            for holder in self._holders.get(token_hash, ())
        }
        return sorted(found - {configuration.workspace})
