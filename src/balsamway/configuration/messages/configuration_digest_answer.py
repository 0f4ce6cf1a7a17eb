"""The configurations that the asking host lacks, and those to send."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.messages.configuration_notice import ConfigurationNotice
from balsamway.peers.codec import message


@message("configuration-digest-answer")
@dataclass(frozen=True, slots=True)
class ConfigurationDigestAnswer:
    """The configurations that the asking host lacks, and those to send."""

    same: bool
    """Whether both hosts have the same versions."""
    newer: tuple[ConfigurationNotice, ...] = ()
    """Higher versions than the digest named; some, where they are many."""
    wanted: tuple[str, ...] = ()
    """The workspaces of which the digest named a higher version."""
