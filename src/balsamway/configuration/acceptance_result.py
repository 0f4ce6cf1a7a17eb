"""Results of an attempt to accept a configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from balsamway.configuration.change import Change


@dataclass(frozen=True, slots=True)
class Accepted:
    """The configuration was accepted and will be in force within seconds."""

    version: int


@dataclass(frozen=True, slots=True)
class AcceptConflict:
    """Another configuration was accepted first; this one has no effect."""

    base: int
    """The version that the operator reviewed and meant to replace."""
    version: int
    """The stored version; 0 if there is none."""
    changes: tuple[Change, ...]
    """The changes from the stored configuration to the offered one."""


@dataclass(frozen=True, slots=True)
class AcceptRefused:
    """The configuration was not accepted and has no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class AcceptUnknown:
    """The result is unknown; the configuration may come into force."""

    change_id: str
    reason: str


AcceptResult: TypeAlias = Accepted | AcceptConflict | AcceptRefused | AcceptUnknown
