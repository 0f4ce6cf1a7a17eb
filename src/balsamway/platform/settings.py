"""Read the settings file that the platform provides for a process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

from balsamway.address import MAX_PORT
from balsamway.node.node_settings import Bounds, NodeSettings
from balsamway.settings import SettingsError, check_addresses, check_ip

SETTINGS_VARIABLE = "BALSAMWAY_NODE_FILE"
"""The environment variable that holds the path of the settings file."""
METRICS_PORT = 9464
"""The port that serves metrics. `deploy/system.toml` names the same port."""
DEFAULT_SETTINGS_PATH = "/etc/balsamway/settings.toml"
"""The path of the settings file if the environment variable is not set."""


Positive = Annotated[float, msgspec.Meta(gt=0)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Port = Annotated[int, msgspec.Meta(gt=0, le=MAX_PORT)]


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    memory_mb: Positive = 300
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = 4_096


class _Self(msgspec.Struct, frozen=True):
    node: str
    ip: str
    zone: str
    limits: _Limits = _Limits()


class _Listen(msgspec.Struct, frozen=True, rename="camel"):
    front: Address
    ready_address: Address
    control: Address | None = None


class _Network(msgspec.Struct, frozen=True, rename="camel"):
    internal_ports: Annotated[list[Port], msgspec.Meta(min_length=2, max_length=2)]
    listen: _Listen
    seeds: list[Address] = []
    zones: dict[str, str] = {}


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
    warmup_excess: Positive = 1.5
    warmup_slack: Annotated[float, msgspec.Meta(ge=0)] = 8.0
    evacuate_ms: Positive | None = None


class _Terms(msgspec.Struct, frozen=True):
    bounds: _Bounds = _Bounds()


class _File(msgspec.Struct, frozen=True):
    self: _Self
    network: _Network
    platform: _Platform
    terms: _Terms = _Terms()


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH))


def _check_addresses(file: _File) -> None:
    """Check each address; see `balsamway.settings.check_addresses`."""
    listen = file.network.listen
    listeners = {
        "network.listen.front": listen.front,
        "network.listen.readyAddress": listen.ready_address,
    }
    if listen.control is not None:
        listeners["network.listen.control"] = listen.control
    others = {
        f"network.seeds.{index}": seed for index, seed in enumerate(file.network.seeds)
    } | {"platform.platform.address": file.platform.platform.address}
    check_ip("self.ip", file.self.ip)
    check_addresses(listeners, others)


def read_node_settings(path: Path) -> NodeSettings:
    """Read and validate the settings file.

    Peers listen on the first of the two internal ports, also where a seed is
    given with another port. The last one is the default port for operators.

    Args:
        path: The path of the file, TOML.

    Returns:
        The settings of this entry host.

    Raises:
        SettingsError: If the file can't be read, is truncated, or has a field
            of the wrong type or an invalid address. The message names the
            field.
    """
    try:
        decoded = msgspec.convert(tomllib.loads(path.read_text("utf-8")), _File)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not a complete TOML file: {error}") from error
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        _check_addresses(decoded)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error
    first_port, last_port = decoded.network.internal_ports
    listen = decoded.network.listen
    bounds = decoded.terms.bounds
    return NodeSettings(
        host=decoded.self.node,
        zone=decoded.self.zone,
        callers_address=listen.front,
        readiness_address=listen.ready_address,
        operators_address=listen.control or f"{decoded.self.ip}:{last_port}",
        peers_address=f"{decoded.self.ip}:{first_port}",
        seeds=tuple(
            f"{seed.rpartition(':')[0]}:{first_port}" for seed in decoded.network.seeds
        ),
        store_address=decoded.platform.platform.address,
        metrics_address=f"{decoded.self.ip}:{METRICS_PORT}",
        memory_megabytes=decoded.self.limits.memory_mb,
        max_descriptors=decoded.self.limits.max_fds,
        region_by_zone=decoded.network.zones,
        bounds=Bounds(
            drain_seconds=bounds.drain_ms / 1000,
            grace_seconds=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_burst=bounds.retry_slack,
            max_grant_seconds=bounds.hold_max_ms / 1000,
            warmup_excess=bounds.warmup_excess,
            warmup_slack=bounds.warmup_slack,
            evacuate_seconds=(
                None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1000
            ),
        ),
    )
