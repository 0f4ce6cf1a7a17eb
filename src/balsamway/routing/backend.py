"""A service among those that a route's requests are split over."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backend:
    """A service and its share of a route's requests."""

    service: str
    weight: float
