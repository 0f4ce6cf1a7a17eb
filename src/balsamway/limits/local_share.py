"""What one host sends to limited targets while no leader hands out tokens."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.limits.admission import Admitted, HeldBack
from balsamway.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    import random

    from balsamway.limits.admission import Admission

GRANTED_HALF_LIFE_SECONDS = 4.0
"""The half-life of the count of granted tokens."""
MIN_COUNTED_SECONDS = 4.0
"""The shortest time to divide that count by."""
GRANTED_FRACTION = 0.4
"""The fraction of the rate at which this host got tokens that it keeps to. The
hosts that still reach the leader may use the whole limit at the same time."""
EQUAL_FRACTION = 0.1
"""The fraction of the limit that all hosts together use if none got tokens."""
BURST_SECONDS = 4.0
"""The most tokens that can be saved up, as a time in which they are filled."""
MIN_TOKENS_PER_SECOND = 1e-6
"""The least rate of a bucket."""
MAX_RETRY_AFTER_SECONDS = 2.0
"""Bounds the Retry-After time of a request that is held back."""


@dataclass(slots=True)
class _Share:
    bucket: TokenBucket
    answered_at: float
    """When the leader last answered for the target, in event loop time."""
    granted: float = 0.0
    """The decayed number of tokens that the leader granted."""
    counted_seconds: float = 0.0
    """The decayed time over which they were counted."""

    @property
    def granted_per_second(self) -> float:
        """The rate of tokens until the leader's last answer."""
        return self.granted / max(MIN_COUNTED_SECONDS, self.counted_seconds)

    def on_granted(self, tokens: int) -> None:
        elapsed_seconds = now() - self.answered_at
        self.answered_at = now()
        factor = 0.5 ** (elapsed_seconds / GRANTED_HALF_LIFE_SECONDS)
        self.granted = self.granted * factor + tokens
        self.counted_seconds = self.counted_seconds * factor + elapsed_seconds


class LocalShare:
    """Admits a share of each limit that is safe without any agreement.

    The shares of all hosts add up to less than the limit. In a large fleet a
    share is less than one request in a while, so requests are then admitted
    by chance: a full token for each host would be many for the target.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without shares.

        Args:
            rng: Decides about requests for less than one token.
        """
        self._rng = rng
        self._shares: dict[tuple[str, int], _Share] = {}

    def record_granted(self, target: tuple[str, int], tokens: int) -> None:
        """Count an answer of the leader.

        Args:
            target: The name and the incarnation of the target.
            tokens: The number of tokens that this host got; it may be 0.
        """
        self._find(target).on_granted(tokens)

    def tokens_per_second(
        self, target: tuple[str, int], requests_per_second: float, host_count: int
    ) -> float:
        """Return this host's share of a limit, in requests per second.

        Args:
            target: The name and the incarnation of the target.
            requests_per_second: The target's limit.
            host_count: The number of entry hosts.
        """
        granted_per_second = self._find(target).granted_per_second
        return max(
            GRANTED_FRACTION * min(granted_per_second, requests_per_second),
            EQUAL_FRACTION * requests_per_second / max(1, host_count),
            MIN_TOKENS_PER_SECOND,
        )

    def take(
        self, target: tuple[str, int], requests_per_second: float, host_count: int
    ) -> Admission:
        """Decide about one request.

        Args:
            target: The name and the incarnation of the target.
            requests_per_second: The target's limit.
            host_count: The number of entry hosts.

        Returns:
            Whether the request may be sent, or when it should return.
        """
        rate = self.tokens_per_second(target, requests_per_second, host_count)
        bucket = self._find(target).bucket
        bucket.resize(rate, rate * BURST_SECONDS)
        if bucket.try_take():
            return Admitted()
        chance = bucket.tokens
        bucket.empty()
        if self._rng.random() < chance:
            return Admitted()
        return HeldBack(min(MAX_RETRY_AFTER_SECONDS, 1.0 / rate), 0.0)

    def keep_only(self, targets: set[tuple[str, int]]) -> None:
        """Forget the shares of all other targets.

        Args:
            targets: The names and incarnations of the targets that exist.
        """
        for target in [target for target in self._shares if target not in targets]:
            del self._shares[target]

    def _find(self, target: tuple[str, int]) -> _Share:
        share = self._shares.get(target)
        if share is None:
            share = _Share(TokenBucket(MIN_TOKENS_PER_SECOND, 0.0), now())
            self._shares[target] = share
        return share
