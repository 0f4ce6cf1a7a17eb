"""The health of a daemon, as reported to load balancers and operators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Health:
    """Whether a daemon accepts requests, and its versions in force."""

    host: str
    zone: str
    ready: bool
    """Whether the daemon accepts requests."""
    stopping: bool
    """Whether the daemon is about to stop."""
    configurations: dict[str, int]
    """The version in force of each configuration, by name."""
