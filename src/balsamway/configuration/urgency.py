"""How much a kind of request suffers from waiting."""

from __future__ import annotations

from enum import IntEnum


class Urgency(IntEnum):
    """The order in which waiting requests are served under overload."""

    PATIENT = 0
    NORMAL = 1
    URGENT = 2
