"""Bounds on what this host adds to its callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

REPEAT_SHARE = 0.7
"""The part of the allowed repeats that is used; the rest covers hosts that
count differently, since each sees only its own requests."""


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """The deployment's bound on repeats, and among how many it is shared."""

    allowed_ratio: float = 0.2
    """The repeats allowed for each request, in any window."""
    allowed_burst: float = 50.0
    """The repeats allowed beside those, by all hosts together."""
    hosts_assumed: int = 12
    """How many entry hosts share the bounds until more are heard."""

    @property
    def repeat_ratio(self) -> float:
        """The repeats that each request allows on one host."""
        return self.allowed_ratio * REPEAT_SHARE

    def burst_repeats(self, hosts: int) -> float:
        """Gives the repeats that one host may make at once.

        Args:
            hosts: How many hosts share them.

        Returns:
            This host's share.
        """
        return self.allowed_burst * REPEAT_SHARE / max(1, hosts)
