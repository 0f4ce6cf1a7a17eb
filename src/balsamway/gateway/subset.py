"""Divide the connections of a target among the gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.membership.target_prober import PROBERS_OF_A_TARGET
from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration import Service

PROBE_CONNECTIONS = PROBERS_OF_A_TARGET
"""The connections of a target for probes, one for each entry host that probes
it."""
LEADER_CONNECTIONS = 2
"""The connections of each shard's leader: one for grants, one for releases."""


def equal_share(service: Service) -> int:
    """Return how many connections each gateway may have to a target.

    The share is the same for any number of gateways up to the maximum that
    the service allows. Gateways that join and leave therefore never exceed
    the number of connections that a target accepts.

    Args:
        service: The service of the target.

    Returns:
        The maximum number of connections, 0 if there may be more gateways
        than connections.
    """
    return available_connections(service) // service.gateways_at_most


def is_in_subset(
    service: Service, target: str, gateway: str, gateways: Iterable[str]
) -> bool:
    """Return whether a gateway is in the subset that connects to a target.

    Subsets are used when there may be more gateways than connections. Each
    target has its own subset of gateways by rendezvous hashing, and each
    gateway of the subset opens one connection.

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
    """Return how many connections of a target are available for requests.

    Args:
        service: The service of the target.

    Returns:
        The connections that are not reserved for leaders and probes.
    """
    reserved = PROBE_CONNECTIONS
    if service.exclusive_keys:
        reserved += LEADER_CONNECTIONS * service.shards
    return max(0, service.connections - reserved)
