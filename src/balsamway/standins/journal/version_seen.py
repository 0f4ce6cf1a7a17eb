"""A configuration version observed on a host."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A version of a workspace's configuration that a host had in force.

    `time` is event loop time, in seconds.
    """

    host: str
    incarnation: int
    workspace: str
    version: int
    time: float
