"""The answer about the priority of a kind of request under overload."""

from __future__ import annotations

from enum import StrEnum


class LoadPriority(StrEnum):
    """The priority of a kind of request under overload."""

    URGENT = "urgent"
    NORMAL = "normal"
    PATIENT = "patient"
