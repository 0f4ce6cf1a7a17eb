"""The version in force of one member's configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberVersion:
    """The version in force of one member's configuration."""

    member: str
    version: int
