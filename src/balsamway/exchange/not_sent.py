"""An exchange that failed before anything was written."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written, so it cannot have run."""

    reason: str
