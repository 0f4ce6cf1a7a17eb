"""What may become of an operator's acceptance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from balsamway.configuration.change import Change


@dataclass(frozen=True, slots=True)
class Accepted:
    """The configuration is accepted and will be in force within seconds."""

    version: int


@dataclass(frozen=True, slots=True)
class AcceptConflict:
    """Another configuration was accepted first; this one has no effect."""

    base: int
    """The version that was to be replaced."""
    version: int
    """The version that is there; 0 for none."""
    changes: tuple[Change, ...]
    """From the configuration that is there to the one offered."""


@dataclass(frozen=True, slots=True)
class AcceptRefused:
    """The configuration was not accepted and has no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class AcceptUnknown:
    """The configuration may be in force, now or later."""

    change_id: str
    reason: str


AcceptResult: TypeAlias = Accepted | AcceptConflict | AcceptRefused | AcceptUnknown
