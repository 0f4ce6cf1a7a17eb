"""Find workspaces by the hashes of their callers' tokens."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


def hash_token(token: str) -> str:
    """Return the hash of a token as used in a questionnaire.

    Args:
        token: The token as callers present it.

    Returns:
        The SHA-256 in hexadecimal.
    """
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()


class TokenIndex:
    """An index of workspaces by the hashes of their tokens.

    If several workspaces have the same hash, it finds none of them. This
    keeps a caller from reaching the services of another workspace.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._workspaces_by_hash: dict[str, list[str]] = {}
        self._hashes_by_workspace: dict[str, tuple[str, ...]] = {}

    def replace(self, configuration: WorkspaceConfiguration) -> None:
        """Replace the tokens of a workspace.

        Args:
            configuration: The workspace's configuration.
        """
        workspace = configuration.workspace
        for token_hash in self._hashes_by_workspace.get(workspace, ()):
            self._workspaces_by_hash[token_hash].remove(workspace)
            if not self._workspaces_by_hash[token_hash]:
                del self._workspaces_by_hash[token_hash]
        hashes = tuple(dict.fromkeys(configuration.token_hashes))
        self._hashes_by_workspace[workspace] = hashes
        for token_hash in hashes:
            self._workspaces_by_hash.setdefault(token_hash, []).append(workspace)

    def find(self, token: str) -> str | None:
        """Return the workspace of a token.

        Args:
            token: The token as the caller sent it.

        Returns:
            The workspace's name, or None unless exactly one workspace has the
        token.
        """
        token_hash = hash_token(token)
        workspaces = self._workspaces_by_hash.get(token_hash, ())
        if len(workspaces) != 1:
            return None
        workspace = workspaces[0]
        matches = (
            known
            for known in self._hashes_by_workspace[workspace]
            if hmac.compare_digest(known, token_hash)
        )
        return workspace if next(matches, None) else None

    def workspaces_sharing_tokens(
        self, configuration: WorkspaceConfiguration
    ) -> Iterable[str]:
        """Return the other workspaces that have a token of this one.

        Args:
            configuration: The workspace's configuration.

        Returns:
            The workspaces' names in alphabetical order.
        """
        sharing = {
            workspace
            for token_hash in configuration.token_hashes
            for workspace in self._workspaces_by_hash.get(token_hash, ())
        }
        return sorted(sharing - {configuration.workspace})
