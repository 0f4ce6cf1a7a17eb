"""Hands out the tokens of limited targets, on the host that leads.

It is made for targets that accept less load while the demand for them stays:
requests beyond the limit are refused at once, the less urgent ones first.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.limits.admission import Admitted, HeldBack
from balsamway.limits.token_bucket import TokenBucket

if TYPE_CHECKING:
    from balsamway.limits.admission import Admission

MIN_REQUESTS_PER_SECOND = 0.25
"""The least rate at which a target gets requests. Only a response shows that
its limit was raised or has ended."""
BURST_SECONDS = 0.5
"""The most tokens that can be saved up, as a time in which they are filled."""
MIN_BURST = 2.0
"""The least number of tokens that can be saved up."""
RESERVE_FRACTION = 0.2
"""The fraction of the burst that each step of priority leaves to more urgent
requests."""
MAX_RESERVE_STEPS = 2
"""The number of steps of priority that have a reserve of their own."""
MAX_RETRY_AFTER_SECONDS = 2.0
"""Bounds the Retry-After time of a request that is held back."""
IDLE_EXPIRY_SECONDS = 30.0
"""How long a target's bucket is kept after its last request."""


@dataclass(slots=True)
class _LimitedTarget:
    bucket: TokenBucket
    used_at: float
    """When the last request asked for a token, in event loop time."""
    returns_until: float
    """Until when requests that were held back were told to return."""


class Limiter:
    """Hands out tokens at the rate of each target's limit."""

    def __init__(self) -> None:
        self._targets: dict[tuple[str, int], _LimitedTarget] = {}

    def take(
        self,
        target: tuple[str, int],
        requests_per_second: float,
        priority: int,
        max_burst: float | None = None,
    ) -> Admission:
        """Take a token for one request.

        Args:
            target: The name and the incarnation of the target.
            requests_per_second: The target's limit.
            priority: The priority of the request; 0 is the most urgent.
            max_burst: The most tokens that can be saved up, if that is less
                than usual.

        Returns:
            Whether the request may be sent, or when it should return.
        """
        rate = max(MIN_REQUESTS_PER_SECOND, requests_per_second)
        limited = self._find(target, rate, max_burst)
        bucket = limited.bucket
        reserve = RESERVE_FRACTION * min(priority, MAX_RESERVE_STEPS) * bucket.burst
        # A request must be able to pass a full bucket.
        reserve = min(reserve, bucket.burst - 1.0)
        if bucket.try_take(reserve):
            return Admitted()
        next_token_seconds = bucket.seconds_until(1.0 + reserve)
        # Requests that return one after another find a token each.
        limited.returns_until = min(
            max(limited.returns_until, now() + next_token_seconds) + 1.0 / rate,
            now() + MAX_RETRY_AFTER_SECONDS,
        )
        return HeldBack(limited.returns_until - now(), next_token_seconds)

    def remove_idle(self) -> None:
        """Forget the targets that got no requests for a while."""
        oldest = now() - IDLE_EXPIRY_SECONDS
        for target in [
            target
            for target, limited in self._targets.items()
            if limited.used_at < oldest
        ]:
            del self._targets[target]

    def _find(
        self, target: tuple[str, int], rate: float, max_burst: float | None
    ) -> _LimitedTarget:
        burst = max(MIN_BURST, BURST_SECONDS * rate)
        if max_burst is not None:
            burst = min(burst, max_burst)
        limited = self._targets.get(target)
        if limited is None:
            limited = _LimitedTarget(TokenBucket(rate, burst), now(), now())
            self._targets[target] = limited
        limited.bucket.resize(rate, burst)
        limited.used_at = now()
        return limited
