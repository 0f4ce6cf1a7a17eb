"""What one host sends to cold targets while no leader hands out tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.limits.admission import Admitted, HeldBack

if TYPE_CHECKING:
    import random

    from balsamway.limits.admission import Admission
    from balsamway.limits.cold_budget import ColdBudget

MAX_SAVED_SECONDS = 0.1
"""The longest time without a request that raises the chance of the next one.
More would let many idle hosts admit one each in the same second."""
UNKNOWN_HOST_COUNT = 200
"""The number of hosts to assume until a leader reported it."""
MAX_RETRY_AFTER_SECONDS = 2.0
"""Bounds the Retry-After time of a request that is held back."""


class ColdShare:
    """Admits requests to cold targets by chance, without any agreement."""

    def __init__(self, budget: ColdBudget, rng: random.Random) -> None:
        """Start without requests.

        Args:
            budget: The bounds on the requests to a cold target.
            rng: Decides about each request.
        """
        self._budget = budget
        self._rng = rng
        self._host_count = 1
        self._decided_at: dict[tuple[str, int], float] = {}

    def take(self, target: tuple[str, int], rate: float, host_count: int) -> Admission:
        """Decide about one request.

        Args:
            target: The name and the incarnation of the target.
            rate: The requests per second that the target accepts.
            host_count: The number of entry hosts; a lower one than before is
                ignored, because hosts that can't be reached use their shares.

        Returns:
            Whether the request may be sent, or when it should return.
        """
        self._host_count = max(self._host_count, host_count)
        hosts = self._host_count if self._host_count > 1 else UNKNOWN_HOST_COUNT
        share = self._budget.share_rate(rate) / hosts
        decided_at = self._decided_at.get(target, now() - MAX_SAVED_SECONDS)
        self._decided_at[target] = now()
        chance = share * min(MAX_SAVED_SECONDS, now() - decided_at)
        if self._rng.random() < chance:
            return Admitted()
        seconds = 1.0 / share if share > 0 else MAX_RETRY_AFTER_SECONDS
        return HeldBack(min(MAX_RETRY_AFTER_SECONDS, seconds), 0.0)

    def keep_only(self, targets: set[tuple[str, int]]) -> None:
        """Forget all other targets.

        Args:
            targets: The names and incarnations of the targets that exist.
        """
        for target in [key for key in self._decided_at if key not in targets]:
            del self._decided_at[target]
