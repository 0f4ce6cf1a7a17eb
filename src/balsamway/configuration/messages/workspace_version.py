"""The version in force of one workspace's configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkspaceVersion:
    """The version in force of one workspace's configuration."""

    workspace: str
    version: int
