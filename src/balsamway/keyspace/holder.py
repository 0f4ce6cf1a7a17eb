"""One run of a target that holds keys."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Holder:
    """Names a target and which of its runs is meant."""

    name: str
    incarnation: int
