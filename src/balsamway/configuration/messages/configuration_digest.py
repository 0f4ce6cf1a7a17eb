"""Tells which versions the sender has, and asks for higher ones."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.messages.workspace_version import WorkspaceVersion
from balsamway.peers.codec import message


@message("configuration-digest")
@dataclass(frozen=True, slots=True)
class ConfigurationDigest:
    """Tells which versions the sender has, and asks for higher ones."""

    fingerprint: int
    """Equal where two hosts have the same versions."""
    versions: tuple[WorkspaceVersion, ...] | None
    """None to compare only the fingerprints."""
