"""For how long a target that refused a request wants to receive nothing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class RestAsked:
    """The target wants no requests from this host for a time."""

    seconds: float


@dataclass(frozen=True, slots=True)
class UnreadableRest:
    """The target names a time that is not a decimal number of seconds."""

    text: str


RestAnswer: TypeAlias = RestAsked | UnreadableRest
