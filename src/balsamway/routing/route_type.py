"""Whether the requests of a route may be executed more than once."""

from __future__ import annotations

from enum import StrEnum


class RouteType(StrEnum):
    """Whether a request may be executed more than once."""

    SAFE = "safe"
    """A request may be retried even if an earlier attempt may have run."""
    UNSAFE = "unsafe"
    """A request may be retried only if it is known not to have run."""
    UPLOAD = "upload"
    """As `UNSAFE`, and its body may be large."""
