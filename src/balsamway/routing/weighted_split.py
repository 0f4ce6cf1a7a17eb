"""Splits the requests of a route among its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamway.routing.backend import Backend


class WeightedSplit:
    """Chooses services by smooth weighted round robin.

    Each service's share is exact even over few requests, where independent
    random choices would deviate from the weights.
    """

    def __init__(self, backends: tuple[Backend, ...], rng: random.Random) -> None:
        """Start with random credits, so that entry hosts differ in phase.

        Args:
            backends: The services and their weights. Services of weight 0 are
                used only if there is no other.
                There may be none at all.
            rng: Draws the first credits.
        """
        weighted = [backend for backend in backends if backend.weight > 0]
        self._backends = backends
        self._choices = weighted or list(backends)
        self._total_weight = sum(backend.weight for backend in weighted) or 1.0
        self._credits = [rng.random() * backend.weight for backend in self._choices]

    @property
    def backends(self) -> tuple[Backend, ...]:
        """The services and weights among which the requests are split."""
        return self._backends

    def next_service(self) -> str | None:
        """Return the name of the service for the next request, if any."""
        if not self._choices:
            return None
        if len(self._choices) == 1:
            return self._choices[0].service
        chosen = 0
        for index, backend in enumerate(self._choices):
            self._credits[index] += backend.weight
            if self._credits[index] > self._credits[chosen]:
                chosen = index
        self._credits[chosen] -= self._total_weight
        return self._choices[chosen].service
