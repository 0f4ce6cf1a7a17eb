"""Draws random keys of which a few are requested most often."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamway.standins.caller.caller_settings import CallerSettings


class ZipfKeys:
    """Draws keys from a Zipf distribution and from a hot set that can change.

    Args:
        settings: The number of keys, the exponent and the hot set's size and
            share.
        rng: The source of random numbers.
    """

    def __init__(self, settings: CallerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._cumulative_weights = _compute_cumulative_weights(
            settings.keys, settings.zipf_exponent
        )
        self._hot_keys: list[int] = []
        self.change_hot_set()

    def change_hot_set(self) -> None:
        """Draw a new set of hot keys."""
        count = min(self._settings.hot_keys, self._settings.keys)
        self._hot_keys = self._rng.sample(range(self._settings.keys), count)

    def draw(self, service: str) -> str:
        """Draw a key.

        Args:
            service: The service that the key belongs to.

        Returns:
            The key, which starts with the service's name.
        """
        return f"{service}-{self._draw_number()}"

    def _draw_number(self) -> int:
        if self._hot_keys and self._rng.random() < self._settings.hot_share:
            return self._rng.choice(self._hot_keys)
        return bisect_left(
            self._cumulative_weights, self._rng.random() * self._cumulative_weights[-1]
        )


def _compute_cumulative_weights(key_count: int, exponent: float) -> list[float]:
    return list(accumulate(rank**-exponent for rank in range(1, key_count + 1)))
