"""Names of the stored objects that hold configuration."""

from __future__ import annotations

WORKSPACES_OBJECT = "configuration-index"
"""The index of workspaces, a JSON array of their names in order."""
