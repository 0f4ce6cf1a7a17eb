"""Draws keys with a few hot ones."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from balsamway.standins.caller.caller_settings import CallerSettings


class ZipfKeys:
    """Keys of a Zipf distribution, and a hot set that can change."""

    def __init__(self, settings: CallerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._sums = _cumulative_weights(settings.keys, settings.zipf_exponent)
        self._hot: list[int] = []
        self.change_hot_set()

    def change_hot_set(self) -> None:
        """Draws another hot set."""
        count = min(self._settings.hot_keys, self._settings.keys)
        self._hot = self._rng.sample(range(self._settings.keys), count)

    def draw(self, service: str) -> str:
        """Draws a key.

        Args:
            service: The service that the key belongs to.

        Returns:
            The key.
        """
        return f"{service}-{self._number()}"

    def _number(self) -> int:
        if self._hot and self._rng.random() < self._settings.hot_share:
            return self._rng.choice(self._hot)
        return bisect_left(self._sums, self._rng.random() * self._sums[-1])


def _cumulative_weights(keys: int, exponent: float) -> list[float]:
    return list(accumulate(rank**-exponent for rank in range(1, keys + 1)))
