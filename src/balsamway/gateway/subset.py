"""Shares the connections of a server among the gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration import Service

PROBE_CONNECTIONS = 2
"""Those of the entry host that probes a server, and of the next one."""
LEADER_CONNECTIONS = 2
"""Those of the leader of each shard: for grants, and for a release."""


def connection_share(
    service: Service, server: str, gateway: str, gateways: Iterable[str]
) -> int:
    """Tells how many connections a gateway may have to a server.

    The equal share holds for any set of gateways up to the most that the
    service allows, so gateways that come and go never exceed what the server
    accepts. Where there are more gateways than connections, each server has
    its own subset of gateways, which connect once.

    Args:
        service: The service of the server.
        server: The server's name.
        gateway: The gateway's host name.
        gateways: The host names of all gateways, this one included.

    Returns:
        The most connections, 0 where the gateway is not in the subset.
    """
    reserved = PROBE_CONNECTIONS
    if service.exclusive_keys:
        reserved += LEADER_CONNECTIONS * service.shards
    available = max(0, service.connections - reserved)
    share = available // service.gateways_at_most
    if share:
        return share
    ranked = sorted(gateways, key=lambda name: weight(server, name))
    return int(gateway in ranked[:available])
