"""The short answer that balancers and operators ask of a daemon."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Health:
    """Whether a daemon takes requests, and the versions in force at it."""

    host: str
    zone: str
    ready: bool
    stopping: bool
    configurations: dict[str, int]
