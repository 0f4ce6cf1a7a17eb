"""An exchange that ended without a complete response."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Broken:
    """No complete response arrived, but the request may have run.

    The request was written at least in part.
    """

    reason: str
