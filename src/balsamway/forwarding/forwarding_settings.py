"""Bounds on the retries that this host adds to its callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_FRACTION = 0.7
"""The fraction of the allowed retries that is used. Each host counts only its
own requests, so the remainder covers differences between the hosts' counts."""


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The deployment's bound on retries, and how many hosts share it."""

    allowed_ratio: float = 0.2
    """The retries allowed per request, over any time window."""
    allowed_burst: float = 50.0
    """The retries allowed in addition, for all hosts together."""
    hosts_assumed: int = 12
    """The number of entry hosts that share the bounds until more are known."""

    @property
    def repeat_ratio(self) -> float:
        """The retries that each request allows on one host."""
        return self.allowed_ratio * RETRY_FRACTION

    def burst_repeats(self, hosts: int) -> float:
        """Return the number of retries that one host may make at once.

        Args:
            hosts: The number of hosts that share the burst.

        Returns:
            This host's share of the burst, in retries.
        """
        return self.allowed_burst * RETRY_FRACTION / max(1, hosts)
