"""Reads the operator's configuration."""

from __future__ import annotations

from typing import Annotated

import msgspec

from balsamway.outcome import Malformed
from balsamway.routing import (
    Backend,
    CallerLimits,
    Route,
    RoutedService,
    RouteType,
    RoutingConfiguration,
)

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]

SERVICE_CONNECTIONS = 50
"""How many connections a target accepts where its service does not say."""


class _Backend(msgspec.Struct, frozen=True):
    service: str
    weight: NotNegative = 1.0


class _Path(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    path_prefix: str
    route_type: RouteType
    timeout_ms: Positive
    target_latency_ms: Positive = 1_000.0
    priority: int = 0
    max_attempts: Count = 1
    service: str | None = None
    backends: list[_Backend] = []


class _Host(msgspec.Struct, frozen=True):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: Count = SERVICE_CONNECTIONS
    sharded: bool = False
    warm_s: NotNegative = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 64 * 1024 * 1024
    header_timeout_ms: Positive = 3_000.0
    idle_timeout_ms: Positive = 15_000.0


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    hosts: list[_Host]
    services: list[_Service]
    limits: _Limits = _Limits()


def decode_routing(body: bytes) -> RoutingConfiguration | Malformed:
    """Decodes a configuration.

    Args:
        body: The stored value.

    Returns:
        The configuration, or what is wrong with it.
    """
    try:
        found = msgspec.json.decode(body, type=_Configuration)
    except msgspec.MsgspecError as error:
        return Malformed(str(error))
    return RoutingConfiguration(
        version=found.version,
        routes=tuple(
            _route(host.host, path) for host in found.hosts for path in host.paths
        ),
        services={
            one.name: RoutedService(
                one.name, one.max_connections, one.sharded, one.warm_s
            )
            for one in found.services
        },
        limits=CallerLimits(
            max_header_bytes=found.limits.max_header_bytes,
            max_body_bytes=found.limits.max_body_bytes,
            header_timeout_seconds=found.limits.header_timeout_ms / 1000,
            idle_timeout_seconds=found.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(host: str, path: _Path) -> Route:
    backends = tuple(Backend(one.service, one.weight) for one in path.backends)
    if path.service is not None and not backends:
        backends = (Backend(path.service, 1.0),)
    return Route(
        name=path.name,
        host=host.lower(),
        path_prefix=path.path_prefix,
        type=path.route_type,
        timeout_seconds=path.timeout_ms / 1000,
        objective_seconds=path.target_latency_ms / 1000,
        priority=path.priority,
        max_attempts=path.max_attempts,
        backends=backends,
    )
