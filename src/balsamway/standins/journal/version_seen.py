"""A configuration version that a host had in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A host had this version of a workspace's configuration in force."""

    host: str
    incarnation: int
    workspace: str
    version: int
    time: float
