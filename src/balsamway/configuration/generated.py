"""A configuration, and where each part of it comes from."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.explained import Explained
from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


@dataclass(frozen=True, slots=True)
class Generated:
    """A configuration, and where each part of it comes from."""

    configuration: WorkspaceConfiguration
    explained: tuple[Explained, ...]
