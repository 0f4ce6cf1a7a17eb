"""No usable response came. The order may have run or may still run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderLost:
    """No usable response came. The order may have run or may still run."""

    reason: str
