"""Bounds on the retries that this host adds to its callers' requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

RETRY_FRACTION = 0.7
"""The fraction of the allowed retries that is used. Each host counts only its
own requests, so the remainder covers differences between the hosts' counts."""


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The deployment's bound on retries, and how many hosts share it."""

    retry_ratio: float = 0.2
    """The retries allowed per request, over any time window."""
    retry_burst: float = 50.0
    """The retries allowed in addition, for all hosts together."""
    min_host_count: int = 12
    """The number of entry hosts that share the bounds until more are known."""
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    """The region of each availability zone, as far as it is known."""

    @property
    def host_retry_ratio(self) -> float:
        """The retries that each request allows on one host."""
        return self.retry_ratio * RETRY_FRACTION

    def host_retry_burst(self, host_count: int) -> float:
        """Return the number of retries that one host may make at once.

        Args:
            host_count: The number of hosts that share the burst.

        Returns:
            This host's share of the burst, in retries.
        """
        return self.retry_burst * RETRY_FRACTION / max(1, host_count)
