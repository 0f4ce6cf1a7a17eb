"""What a response of a target says about the target's limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The target accepts a bounded rate from all hosts together."""

    requests_per_second: float


@dataclass(frozen=True, slots=True)
class NoLimit:
    """The target names no limit."""


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The target names a limit that is not a decimal number."""

    text: str


LimitAnswer: TypeAlias = NamedLimit | NoLimit | UnreadableLimit
