"""Names of the objects that hold configuration in the store."""

from __future__ import annotations

MEMBERS_OBJECT = "configuration-index"
"""Lists the members, as a JSON array of names in order."""
