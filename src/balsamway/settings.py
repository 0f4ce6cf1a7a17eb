"""The settings of a daemon, read from a file of JSON with comments."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import msgspec
import pyjson5

from balsamway.address import MAX_PORT, is_ipv4_address

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")


class SettingsError(ValueError):
    """The settings are invalid; the message names the file and the reason."""


@dataclass(frozen=True, slots=True)
class Listeners:
    """The addresses that a daemon listens on, as `ip:port`."""

    callers: str
    """The address for callers' requests."""
    peers: str
    """The address for the messages of other entry hosts."""
    operators: str
    """The address for metrics, the state dump and the health check."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations that must be the same for all daemons of a deployment.

    Durations are in seconds.
    """

    grant: float = 2.4
    """The duration of a grant, from the clock reading that the target sent."""
    renewal: float = 0.4
    """The interval at which grants, promises and views are renewed."""
    promise: float = 1.2
    """The duration of a witness's promise to support no other leader."""
    view: float = 2.0
    """The time for which a gateway may act on a view, from when the gateway
    requested it."""
    clock_rate_allowance: float = 0.01
    """The maximum relative difference in rate between the clocks of two hosts.
    """


@dataclass(frozen=True, slots=True)
class Seed:
    """An entry host to query if the platform is unavailable at the start."""

    host: str
    zone: str
    peers: str
    """The address of its peer listener, as `ip:port`."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a daemon is started with."""

    host: str
    zone: str
    listen: Listeners
    platform: str
    """The base URL of the platform, as `http://ip:port`."""
    timing: Timing = field(default_factory=Timing)
    seeds: tuple[Seed, ...] = ()
    seed: int | None = None
    """The seed of random choices; None to draw one at each start."""


def read_settings(path: Path, cls: type[T]) -> T:
    """Read and validate a settings file.

    Args:
        path: The path of the file, JSON with comments.
        cls: The data class of the settings.

    Returns:
        The settings, an instance of `cls`.

    Raises:
        SettingsError: If the file can't be read or does not match `cls`.
    """
    try:
        decoded = pyjson5.decode(path.read_text(encoding="utf-8"))
        return msgspec.convert(decoded, cls)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (pyjson5.Json5Exception, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from error


def check_ip(key: str, ip: str) -> None:
    """Check an IP address of the settings.

    Args:
        key: The key of the address in the settings file.
        ip: The address.

    Raises:
        SettingsError: If it is not an IPv4 address.
    """
    if not is_ipv4_address(ip):
        raise SettingsError(f"{key}: {ip!r} has no valid IPv4 address")


def check_addresses(listeners: Mapping[str, str], others: Mapping[str, str]) -> None:
    """Check addresses of the settings, and that no two listeners share one.

    Args:
        listeners: The `ip:port` of each listener, by its key in the file. The
            ports are digits.
        others: The other addresses, by their keys.

    Raises:
        SettingsError: If one is invalid. The message names key and value.
    """
    for key, address in ({**listeners, **others}).items():
        ip, _, port = address.rpartition(":")
        if not is_ipv4_address(ip):
            raise SettingsError(f"{key}: {address!r} has no valid IPv4 address")
        if not 0 < int(port) <= MAX_PORT:
            raise SettingsError(f"{key}: {address!r} has no valid port")
    keys_by_address: dict[str, str] = {}
    for key, address in listeners.items():
        other_key = keys_by_address.setdefault(address, key)
        if other_key != key:
            raise SettingsError(f"{key}: {address!r} is also {other_key}")
