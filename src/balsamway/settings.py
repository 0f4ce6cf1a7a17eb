"""The settings of a daemon, read from JSON with comments."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import msgspec
import pyjson5

T = TypeVar("T")


class SettingsError(ValueError):
    """The settings cannot be used; the text says where and why."""


@dataclass(frozen=True, slots=True)
class Listeners:
    """The addresses that a daemon listens on, as `ip:port`."""

    callers: str
    peers: str
    operators: str


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations that the daemons of a deployment must agree on, in seconds."""

    grant: float = 2.4
    """How long a grant lasts from the target's clock reading."""
    renewal: float = 0.4
    """How often grants, promises and views are renewed."""
    promise: float = 1.2
    """How long a witness supports a leader."""
    view: float = 2.0
    """How long a gateway may act on a view from when it asked for it."""
    clock_rate_allowance: float = 0.01
    """The greatest difference in rate between the clocks of two hosts."""


@dataclass(frozen=True, slots=True)
class Seed:
    """An entry host to ask when a daemon starts without the platform."""

    host: str
    zone: str
    peers: str
    """The address of its peer listener."""


@dataclass(frozen=True, slots=True)
class Settings:
    """What a daemon is told at its start."""

    host: str
    zone: str
    listen: Listeners
    platform: str
    """The base address of the platform, as `http://ip:port`."""
    timing: Timing = field(default_factory=Timing)
    seeds: tuple[Seed, ...] = ()
    seed: int | None = None
    """Seeds the random choices; None draws a seed at each start."""


def read_settings(path: Path, cls: type[T]) -> T:
    """Reads and checks a settings file.

    Args:
        path: The file, JSON with comments.
        cls: The data class of the settings.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read or does not fit.
    """
    try:
        found = pyjson5.decode(path.read_text(encoding="utf-8"))
        return msgspec.convert(found, cls)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (pyjson5.Json5Exception, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from error
