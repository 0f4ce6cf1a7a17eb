"""An exchange that ended without a whole answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was written, at least in part, and may have run."""

    reason: str
