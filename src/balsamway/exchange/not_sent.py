"""An exchange that failed before anything was written."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was written, so it cannot have run."""

    reason: str
    is_reset_by_target: bool = False
    """Whether the target accepted the connection and then reset it, as it does
    while it has too many."""
    is_withheld: bool = False
    """Whether this host withheld the request, because its target must not be
    used any more."""
