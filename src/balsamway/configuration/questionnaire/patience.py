"""What a workspace answers about waiting under overload."""

from __future__ import annotations

from enum import StrEnum


class Patience(StrEnum):
    """How well a kind of request bears to wait under overload."""

    URGENT = "urgent"
    NORMAL = "normal"
    PATIENT = "patient"
