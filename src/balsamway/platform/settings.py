"""Reads the settings file that the platform lays for a process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from balsamway.node.node_settings import Bounds, NodeSettings
from balsamway.settings import SettingsError

SETTINGS_VARIABLE = "BALSAMWAY_NODE_FILE"
METRICS_PORT = 9464
"""The port that deploy/system.toml names for metrics."""
DEFAULT_PATH = "/etc/balsamway/settings.toml"

Positive = Annotated[float, msgspec.Meta(gt=0)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Port = Annotated[int, msgspec.Meta(gt=0, lt=65_536)]


class _Self(msgspec.Struct, frozen=True):
    node: str
    ip: str
    zone: str


class _Listen(msgspec.Struct, frozen=True, rename="camel"):
    front: Address
    ready_address: Address
    control: Address | None = None


class _Network(msgspec.Struct, frozen=True, rename="camel"):
    internal_ports: Annotated[list[Port], msgspec.Meta(min_length=2, max_length=2)]
    listen: _Listen
    seeds: list[Address] = []


class _Store(msgspec.Struct, frozen=True, rename="camel"):
    address: Address


class _Platform(msgspec.Struct, frozen=True):
    platform: _Store


class _Bounds(msgspec.Struct, frozen=True, rename="camel"):
    drain_ms: Positive = 2_000.0
    grace_s: Positive = 6.0
    retry_budget_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.2
    retry_slack: Annotated[float, msgspec.Meta(ge=0)] = 50.0
    hold_max_ms: Positive = 10_000.0


class _Terms(msgspec.Struct, frozen=True):
    bounds: _Bounds = _Bounds()


class _File(msgspec.Struct, frozen=True):
    self: _Self
    network: _Network
    platform: _Platform
    terms: _Terms = _Terms()


def settings_path() -> Path:
    """Gives the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def read_node_settings(path: Path) -> NodeSettings:
    """Reads and checks the settings file.

    Args:
        path: The file, TOML.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file cannot be read, is cut short or has a
            field of the wrong type; the text names the field.
    """
    try:
        found = msgspec.convert(tomllib.loads(path.read_text("utf-8")), _File)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: no whole TOML file: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    first_port, last_port = found.network.internal_ports
    listen = found.network.listen
    bounds = found.terms.bounds
    return NodeSettings(
        host=found.self.node,
        zone=found.self.zone,
        callers_address=listen.front,
        readiness_address=listen.ready_address,
        operators_address=listen.control or f"{found.self.ip}:{last_port}",
        peers_address=f"{found.self.ip}:{first_port}",
        seeds=tuple(
            f"{seed.rpartition(':')[0]}:{first_port}" for seed in found.network.seeds
        ),
        store_address=found.platform.platform.address,
        metrics_address=f"{found.self.ip}:{METRICS_PORT}",
        bounds=Bounds(
            drain_seconds=bounds.drain_ms / 1000,
            grace_seconds=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_burst=bounds.retry_slack,
            max_grant_seconds=bounds.hold_max_ms / 1000,
        ),
    )
