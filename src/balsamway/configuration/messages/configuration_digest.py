"""The versions that the sender has, sent to ask for higher ones."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.messages.workspace_version import WorkspaceVersion
from balsamway.peers.codec import message


@message("configuration-digest")
@dataclass(frozen=True, slots=True)
class ConfigurationDigest:
    """The versions that the sender has, sent to ask for higher ones."""

    fingerprint: int
    """A hash of the versions, equal if two hosts have the same ones."""
    versions: tuple[WorkspaceVersion, ...] | None
    """None if only the fingerprints are to be compared."""
