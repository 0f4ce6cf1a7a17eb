"""Query the operator listeners of daemons."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from balsamway.daemon.health import Health
from balsamway.store import HostRole, Unavailable
from balsamway.store.http_host_list import HttpHostList

if TYPE_CHECKING:
    from balsamway.store import Host

QUERY_TIMEOUT_SECONDS = 2.0
"""How long to wait for a whole response of one host."""
MAX_CONCURRENT_QUERIES = 50
"""How many hosts are queried at the same time."""


@dataclass(frozen=True, slots=True)
class HostStatus:
    """The health of an entry host, or why it is unknown."""

    host: str
    zone: str
    health: Health | None
    reason: str = ""
    """Why the health is unknown; empty if it is known."""


async def read_entry_hosts(platform: str) -> tuple[Host, ...] | Unavailable:
    """Return the entry hosts of the platform's host list.

    Args:
        platform: The platform's address.

    Returns:
        The entry hosts, or why the list could not be read.
    """
    host_list = HttpHostList(platform)
    try:
        hosts = await host_list.hosts()
    finally:
        await host_list.close()
    if isinstance(hosts, Unavailable):
        return hosts
    return tuple(host for host in hosts if host.role is HostRole.ENTRY)


async def query_hosts(hosts: tuple[Host, ...]) -> list[HostStatus]:
    """Query the health of each host.

    Args:
        hosts: The entry hosts.

    Returns:
        The status of each host, in the order of the hosts.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    async with aiohttp.ClientSession() as session:
        return await asyncio.gather(
            *(_query_health(session, semaphore, host) for host in hosts)
        )


async def read_state(address: str) -> bytes | Unavailable:
    """Return the whole state of a daemon.

    Args:
        address: The `ip:port` of its operator listener.

    Returns:
        The state as JSON, or why it could not be read.
    """
    async with aiohttp.ClientSession() as session:
        return await _get(session, f"http://{address}/state", frozenset({200}))


async def read_metrics(hosts: tuple[Host, ...]) -> dict[str, str | Unavailable]:
    """Query the metrics of each host.

    Args:
        hosts: The entry hosts.

    Returns:
        The Prometheus text of each host, or why it could not be read.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    async with aiohttp.ClientSession() as session:
        results = await asyncio.gather(
            *(_query_metrics(session, semaphore, host) for host in hosts)
        )
    return {host.name: result for host, result in zip(hosts, results, strict=True)}


async def _query_metrics(
    session: aiohttp.ClientSession, semaphore: asyncio.Semaphore, host: Host
) -> str | Unavailable:
    url = f"http://{host.operators_address}/metrics"
    async with semaphore:
        body = await _get(session, url, frozenset({200}))
    return body if isinstance(body, Unavailable) else body.decode("utf-8", "replace")


async def _query_health(
    session: aiohttp.ClientSession, semaphore: asyncio.Semaphore, host: Host
) -> HostStatus:
    url = f"http://{host.operators_address}/health"
    async with semaphore:
        body = await _get(session, url, frozenset({200, 503}))
    if isinstance(body, Unavailable):
        return HostStatus(host.name, host.zone, None, body.reason)
    try:
        health = msgspec.json.decode(body, type=Health)
    except msgspec.MsgspecError as error:
        return HostStatus(host.name, host.zone, None, str(error))
    return HostStatus(host.name, host.zone, health)


async def _get(
    session: aiohttp.ClientSession, url: str, statuses: frozenset[int]
) -> bytes | Unavailable:
    timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_SECONDS)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status not in statuses:
                return Unavailable(f"status {response.status}")
            return await response.read()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Unavailable(str(error) or type(error).__name__)
