"""No answer came; the order may have been carried out, or may be yet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderLost:
    """No answer came; the order may have been carried out, or may be yet."""

    reason: str
