"""Shares the connections of a target among the gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.membership.target_prober import PROBERS_OF_A_TARGET
from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration import Service

PROBE_CONNECTIONS = PROBERS_OF_A_TARGET
"""Each entry host that probes a target has a connection of its own for it."""
LEADER_CONNECTIONS = 2
"""Those of the leader of each shard: for grants, and for a release."""


def equal_share(service: Service) -> int:
    """Tells how many connections each gateway may have to a target.

    The share holds for any set of gateways up to the most that the service
    allows, so gateways that come and go never exceed what a target accepts.

    Args:
        service: The service of the target.

    Returns:
        The most connections, 0 where there are more gateways than
        connections.
    """
    return available_connections(service) // service.gateways_at_most


def is_in_subset(
    service: Service, target: str, gateway: str, gateways: Iterable[str]
) -> bool:
    """Tells whether a gateway is among those that connect to a target.

    Used where there are more gateways than connections: each target has its
    own subset, by rendezvous hashing, and each of these connects once.

    Args:
        service: The service of the target.
        target: The target's name.
        gateway: The gateway's host name.
        gateways: The host names of all gateways, this one included.

    Returns:
        Whether the gateway may connect.
    """
    ranked = sorted(gateways, key=lambda name: weight(target, name))
    return gateway in ranked[: available_connections(service)]


def available_connections(service: Service) -> int:
    """Tells how many connections of a target are for requests.

    Args:
        service: The service of the target.

    Returns:
        Those that neither leaders nor probes need.
    """
    reserved = PROBE_CONNECTIONS
    if service.exclusive_keys:
        reserved += LEADER_CONNECTIONS * service.shards
    return max(0, service.connections - reserved)
