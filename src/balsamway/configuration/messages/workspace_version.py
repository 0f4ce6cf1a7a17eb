"""The version in force for one workspace."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkspaceVersion:
    """The version in force for one workspace."""

    workspace: str
    version: int
