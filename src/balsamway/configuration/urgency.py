"""The priority of a kind of request under overload."""

from __future__ import annotations

from enum import IntEnum


class Urgency(IntEnum):
    """The priority of waiting requests under overload, the highest first."""

    PATIENT = 0
    NORMAL = 1
    URGENT = 2
