"""Bounds on what this host adds to its callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

REPEAT_SHARE = 0.7
"""The part of the allowed repeats that is used; the rest covers hosts that
count differently, since each sees only its own requests."""


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The deployment's bound on repeats, and among how many it is shared."""

    retry_ratio: float = 0.2
    """The repeats allowed for each request, in any window."""
    retry_burst: float = 50.0
    """The repeats allowed beside those, by all hosts together."""
    min_host_count: int = 12
    """How many entry hosts share the bounds until more are heard."""

    @property
    def host_retry_ratio(self) -> float:
        """The repeats that each request allows on one host."""
        return self.retry_ratio * REPEAT_SHARE

    def host_retry_burst(self, hosts: int) -> float:
        """Gives the repeats that one host may make at once.

        Args:
            hosts: How many hosts share them.

        Returns:
            This host's share.
        """
        return self.retry_burst * REPEAT_SHARE / max(1, hosts)
