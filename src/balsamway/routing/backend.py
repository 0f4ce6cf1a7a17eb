"""One of the services among which a route splits its requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backend:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float
