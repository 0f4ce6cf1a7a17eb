"""Decode the operator's configuration."""

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

MAX_NUMBER = 1e15
"""The highest number that is not an integer. It keeps sums finite."""

Positive = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""Messages between hosts carry integers of 64 bits."""
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]

DEFAULT_MAX_CONNECTIONS = 50
"""The number of connections that each target of a service accepts, where the
configuration does not set it."""


class _Backend(msgspec.Struct, frozen=True):
    service: str
    weight: NonNegative = 1.0


class _Path(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    path_prefix: str
    route_type: RouteType
    timeout_ms: Positive
    target_latency_ms: Positive = 1_000.0
    priority: Int64 = 0
    max_attempts: PositiveInt = 1
    service: str | None = None
    backends: list[_Backend] = []


class _Host(msgspec.Struct, frozen=True):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: PositiveInt = DEFAULT_MAX_CONNECTIONS
    sharded: bool = False
    warm_s: NonNegative = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 64 * 1024 * 1024
    header_timeout_ms: Positive = 3_000.0
    idle_timeout_ms: Positive = 15_000.0


class _Configuration(msgspec.Struct, frozen=True):
    version: Int64
    hosts: list[_Host]
    services: list[_Service]
    limits: _Limits = _Limits()


def decode_routing(body: bytes) -> RoutingConfiguration | Malformed:
    """Decode a configuration.

    Args:
        body: The stored value, JSON.

    Returns:
        The configuration, or the reason why it can't be decoded.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Configuration)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Malformed(str(error))
    for host in decoded.hosts:
        for path in host.paths:
            if path.service is None and not path.backends:
                return Malformed(f"the route {path.name} names no service")
    return RoutingConfiguration(
        version=decoded.version,
        routes=tuple(
            _route(host.host, path) for host in decoded.hosts for path in host.paths
        ),
        services={
            service.name: RoutedService(
                service.name, service.max_connections, service.sharded, service.warm_s
            )
            for service in decoded.services
        },
        limits=CallerLimits(
            max_header_bytes=decoded.limits.max_header_bytes,
            max_body_bytes=decoded.limits.max_body_bytes,
            header_timeout_seconds=decoded.limits.header_timeout_ms / 1000,
            idle_timeout_seconds=decoded.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(host: str, path: _Path) -> Route:
    backends = tuple(
        Backend(backend.service, backend.weight) for backend in path.backends
    )
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
