"""Splits the requests of a route over its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamway.routing.backend import Backend


class WeightedSplit:
    """Deals requests out in the proportions of the weights.

    Smooth weighted round robin keeps each share exact over short spans,
    where independent draws would stray.
    """

    def __init__(self, backends: tuple[Backend, ...], rng: random.Random) -> None:
        """Starts at a random place, so that entry hosts differ in phase.

        Args:
            backends: The services and their weights.
            rng: Draws the first credits.
        """
        weighted = [one for one in backends if one.weight > 0]
        self._backends = weighted or list(backends)
        self._total = sum(one.weight for one in weighted) or 1.0
        self._credits = [rng.random() * one.weight for one in self._backends]

    def next(self) -> str:
        """Gives the service of the next request."""
        if len(self._backends) == 1:
            return self._backends[0].service
        best = 0
        for index, backend in enumerate(self._backends):
            self._credits[index] += backend.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._backends[best].service
