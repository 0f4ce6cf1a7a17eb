"""Whether the requests of a route may be repeated."""

from __future__ import annotations

from enum import StrEnum


class RouteType(StrEnum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
