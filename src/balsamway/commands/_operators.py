"""Asks the daemons' operator listeners."""

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

ASK_TIMEOUT_SECONDS = 2.0
ASKED_AT_ONCE = 50


@dataclass(frozen=True, slots=True)
class HostReport:
    """What one entry host answered."""

    host: str
    zone: str
    health: Health | None
    reason: str = ""
    """Why there is no answer; empty where there is one."""


async def read_entry_hosts(platform: str) -> tuple[Host, ...] | Unavailable:
    """Reads the entry hosts from the platform's list.

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


async def ask_all(hosts: tuple[Host, ...]) -> list[HostReport]:
    """Asks each host for its health.

    Args:
        hosts: The entry hosts.

    Returns:
        The answers, in the order of the hosts.
    """
    turns = asyncio.Semaphore(ASKED_AT_ONCE)
    async with aiohttp.ClientSession() as session:
        return await asyncio.gather(*(_ask(session, turns, host) for host in hosts))


async def read_state(address: str) -> bytes | Unavailable:
    """Reads the whole state of a daemon.

    Args:
        address: The `ip:port` of its operator listener.

    Returns:
        The state as JSON, or why it could not be read.
    """
    async with aiohttp.ClientSession() as session:
        return await _get(session, f"http://{address}/state", frozenset({200}))


async def read_metrics(hosts: tuple[Host, ...]) -> dict[str, str | Unavailable]:
    """Reads the metrics of each host.

    Args:
        hosts: The entry hosts.

    Returns:
        The Prometheus text of each host, or why it could not be read.
    """
    turns = asyncio.Semaphore(ASKED_AT_ONCE)
    async with aiohttp.ClientSession() as session:
        pages = await asyncio.gather(
            *(_read_page(session, turns, host) for host in hosts)
        )
    return {host.name: page for host, page in zip(hosts, pages, strict=True)}


async def _read_page(
    session: aiohttp.ClientSession, turns: asyncio.Semaphore, host: Host
) -> str | Unavailable:
    url = f"http://{host.operators_address}/metrics"
    async with turns:
        body = await _get(session, url, frozenset({200}))
    return body if isinstance(body, Unavailable) else body.decode("utf-8", "replace")


async def _ask(
    session: aiohttp.ClientSession, turns: asyncio.Semaphore, host: Host
) -> HostReport:
    url = f"http://{host.operators_address}/health"
    async with turns:
        body = await _get(session, url, frozenset({200, 503}))
    if isinstance(body, Unavailable):
        return HostReport(host.name, host.zone, None, body.reason)
    try:
        health = msgspec.json.decode(body, type=Health)
    except msgspec.MsgspecError as error:
        return HostReport(host.name, host.zone, None, str(error))
    return HostReport(host.name, host.zone, health)


async def _get(
    session: aiohttp.ClientSession, url: str, statuses: frozenset[int]
) -> bytes | Unavailable:
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_SECONDS)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status not in statuses:
                return Unavailable(f"status {response.status}")
            return await response.read()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Unavailable(str(error) or type(error).__name__)
