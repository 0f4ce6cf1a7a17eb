"""An exchange of which nothing was written."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written, so it cannot run."""

    reason: str
