"""The answer to a digest: what the asking host lacks, and what to send."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.messages.configuration_notice import ConfigurationNotice
from balsamway.peers.codec import message


@message("configuration-digest-answer")
@dataclass(frozen=True, slots=True)
class ConfigurationDigestAnswer:
    """The answer to a digest: what the asking host lacks, and what to send."""

    same: bool
    """Whether both hosts have the same versions."""
    newer: tuple[ConfigurationNotice, ...] = ()
    """Configurations with higher versions than the digest named. The number
    is limited, so the next exchange may bring more."""
    wanted: tuple[str, ...] = ()
    """Workspaces of which the digest named a higher version, also limited in
    number."""
