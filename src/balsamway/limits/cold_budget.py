"""Divides what a cold target may get in one second among the hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass

GRANT_DELAY_FACTOR = 1.2
"""How many seconds of tokens arrive in one second at most: a grant may take as
long as the response time-out of the token client, 0.2 s."""
MAX_BURST = 2.0
"""The most tokens of a cold target that the leader saves up."""
MAX_EXCESS_PROBABILITY = 1e-6
"""The probability in one second that hosts without a leader send a cold target
more than the leader's tokens leave room for."""
MAX_SHARE_FRACTION = 0.5
"""The fraction of a cold target's rate that hosts without a leader use at
most."""


@dataclass(frozen=True, slots=True)
class ColdBudget:
    """The bounds of a deployment on the requests to a cold target."""

    excess: float = 1.5
    slack: float = 8.0

    def allowed(self, rate: float) -> int:
        """Return the most requests in any one second, over all hosts.

        Args:
            rate: The requests per second that the target accepts.
        """
        return math.floor(self.excess * rate + self.slack + 1e-9)

    def burst(self, rate: float) -> float:
        """Return the most tokens that the leader may save up."""
        room = self.allowed(rate) - GRANT_DELAY_FACTOR * rate
        return min(MAX_BURST, max(1.0, room))

    def leader_rate(self, rate: float) -> float:
        """Return the rate of the leader's tokens."""
        room = self.allowed(rate) - self.burst(rate)
        return max(0.0, min(rate, room / GRANT_DELAY_FACTOR))

    def share_rate(self, rate: float) -> float:
        """Return the mean rate of all hosts that have no leader together.

        Such hosts can't agree, so each admits by chance. The number that they
        admit in one second has a Poisson distribution at most, and its tail is
        bounded by the first term beyond the room that the leader leaves.
        """
        issued = GRANT_DELAY_FACTOR * self.leader_rate(rate) + self.burst(rate)
        beyond = self.allowed(rate) - math.floor(issued + 1e-9) + 1
        if beyond < 1:
            return 0.0
        log_mean = (math.log(MAX_EXCESS_PROBABILITY) + math.lgamma(beyond + 1)) / beyond
        return min(MAX_SHARE_FRACTION * rate, math.exp(log_mean))
