"""Decode the operator's configuration.

A part that can't be decoded is left out and reported, and the rest is used:
one new word must not put every route out of service.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from balsamway.outcome import Malformed
from balsamway.partial_decoder import DECODE_ERRORS, PartialDecoder, decode_or_none
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
UNDECODED_ROUTE_TIMEOUT_SECONDS = 1.0
"""The timeout of a route that could not be decoded. Its requests are refused
at once."""


class _Backend(msgspec.Struct, frozen=True):
    service: str
    weight: NonNegative = 1.0


class _Path(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    path_prefix: str
    route_type: str
    timeout_ms: Positive
    target_latency_ms: Positive = 1_000.0
    priority: Int64 = 0
    max_attempts: PositiveInt = 1
    service: str | None = None
    backends: list[_Backend] = []
    allowed_regions: list[str] | None = None


class _PathMatch(msgspec.Struct, frozen=True, rename="camel"):
    """What is needed of a path to know which requests it matches."""

    path_prefix: str


class _Host(msgspec.Struct, frozen=True):
    host: str
    paths: list[msgspec.Raw]


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: PositiveInt = DEFAULT_MAX_CONNECTIONS
    sharded: bool = False
    warm_s: NonNegative = 0.0
    warmup_s: NonNegative = 0.0
    warmup_per_s: Positive | None = None


class _RequiredService(msgspec.Struct, frozen=True):
    """What can't be assumed of a service whose other fields are unknown."""

    name: str
    sharded: bool = False


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: PositiveInt = 16_384
    max_body_bytes: PositiveInt = 64 * 1024 * 1024
    header_timeout_ms: Positive = 3_000.0
    idle_timeout_ms: Positive = 15_000.0


class _Configuration(msgspec.Struct, frozen=True):
    version: Int64
    hosts: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"{}")


def decode_routing(body: bytes) -> RoutingConfiguration | Malformed:
    """Decode a configuration.

    Args:
        body: The stored value, JSON.

    Returns:
        The configuration, with the problems of the parts that were left out,
        or the reason why none of it can be decoded.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Configuration)
    except DECODE_ERRORS as error:
        return Malformed(str(error))
    decoder = PartialDecoder()
    routes = [
        route
        for index, host in enumerate(decoded.hosts)
        for route in _decode_host(decoder, host, f"hosts[{index}]")
    ]
    services = [
        _decode_service(decoder, service, f"services[{index}]")
        for index, service in enumerate(decoded.services)
    ]
    limits = decoder.decode_fields(decoded.limits, _Limits, "limits")
    return RoutingConfiguration(
        version=decoded.version,
        routes=tuple(routes),
        services={service.name: service for service in services if service is not None},
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_seconds=limits.header_timeout_ms / 1000,
            idle_timeout_seconds=limits.idle_timeout_ms / 1000,
        ),
        problems=decoder.problems,
    )


def _decode_host(decoder: PartialDecoder, body: msgspec.Raw, part: str) -> list[Route]:
    host = decoder.decode(body, _Host, part)
    if host is None:
        return []
    routes = [
        _decode_path(decoder, host.host, path, f"{part}.paths[{index}]")
        for index, path in enumerate(host.paths)
    ]
    return [route for route in routes if route is not None]


def _decode_path(
    decoder: PartialDecoder, host: str, body: msgspec.Raw, part: str
) -> Route | None:
    path = decoder.decode(body, _Path, part)
    if path is None:
        match = decode_or_none(body, _PathMatch)
        return None if match is None else _undecoded_route(host, match.path_prefix)
    if path.service is None and not path.backends:
        decoder.add_problem(part, f"the route {path.name} names no service")
        return _undecoded_route(host, path.path_prefix)
    try:
        route_type = RouteType(path.route_type)
    except ValueError:
        # The strictest type is the only one that can do no harm.
        route_type = RouteType.UNSAFE
        decoder.add_problem(part, f"unknown route type {path.route_type!r}")
    return _route(host, path, route_type)


def _undecoded_route(host: str, path_prefix: str) -> Route:
    """Return a route whose requests are refused instead of not found."""
    return Route(
        name="undecoded",
        host=host.lower(),
        path_prefix=path_prefix,
        type=RouteType.UNSAFE,
        timeout_seconds=UNDECODED_ROUTE_TIMEOUT_SECONDS,
        objective_seconds=UNDECODED_ROUTE_TIMEOUT_SECONDS,
        priority=0,
        max_attempts=1,
        backends=(),
    )


def _decode_service(
    decoder: PartialDecoder, body: msgspec.Raw, part: str
) -> RoutedService | None:
    service = decoder.decode(body, _Service, part)
    if service is None:
        required = decode_or_none(body, _RequiredService)
        if required is None:
            return None
        service = _Service(required.name, sharded=required.sharded)
    return RoutedService(
        service.name,
        service.max_connections,
        service.sharded,
        service.warm_s,
        service.warmup_s,
        service.warmup_per_s,
    )


def _route(host: str, path: _Path, route_type: RouteType) -> Route:
    backends = tuple(
        Backend(backend.service, backend.weight) for backend in path.backends
    )
    if path.service is not None and not backends:
        backends = (Backend(path.service, 1.0),)
    return Route(
        name=path.name,
        host=host.lower(),
        path_prefix=path.path_prefix,
        type=route_type,
        timeout_seconds=path.timeout_ms / 1000,
        objective_seconds=path.target_latency_ms / 1000,
        priority=path.priority,
        max_attempts=path.max_attempts,
        backends=backends,
        allowed_regions=frozenset(path.allowed_regions or ()),
    )
