"""Names of the objects that hold configuration in the store."""

from __future__ import annotations

WORKSPACES_OBJECT = "configuration-index"
"""Lists the workspaces, as a JSON array of names in order."""
