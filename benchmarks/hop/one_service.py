"""A configuration and a directory of one service with one server."""

from __future__ import annotations

import asyncio
from contextlib import nullcontext
from typing import TYPE_CHECKING

from balsamway.configuration import (
    MemberConfiguration,
    RequestKind,
    Service,
    Urgency,
    Zone,
)
from balsamway.ownership.route import Route
from balsamway.slices import POSITION_END, KeyRange
from balsamway.store import Host, HostRole

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from balsamway.slices import ShardId

TOKEN = "hop"
KINDS = (
    RequestKind("lookup", True, 5.0, Urgency.NORMAL),
    RequestKind("order", False, 5.0, Urgency.URGENT),
)
SERVICES = (
    Service("prices", False, KINDS, 64, 1030, 1),
    Service("stock", True, KINDS, 64, 1030, 1),
)
MEMBER = MemberConfiguration("hop", 1, "c", (Zone("a", "r", 1),), SERVICES, ())


class OneService:
    """Stands for the configuration, the directory, routes and load counts."""

    def __init__(self, server_address: str) -> None:
        self._servers = {
            service.name: Host(
                f"{service.name}-1",
                HostRole.SERVER,
                "a",
                server_address,
                MEMBER.member,
                service.name,
            )
            for service in SERVICES
        }
        self._listed = {name: (host,) for name, host in self._servers.items()}

    def member(self, name: str) -> MemberConfiguration:
        """Gives the one member."""
        return MEMBER

    def members(self) -> tuple[MemberConfiguration, ...]:
        """Lists the one member."""
        return (MEMBER,)

    def member_of_token(self, token: str) -> MemberConfiguration | None:
        """Finds the member by its token."""
        return MEMBER if token == TOKEN else None

    def servers(self, member: str, service: str) -> tuple[Host, ...]:
        """Lists the one server of a service."""
        return self._listed[service]

    def server(self, name: str) -> Host | None:
        """Finds a server by name."""
        return self._servers[name.removesuffix("-1")]

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists no entry host but this."""
        return (Host("g1", HostRole.ENTRY, "a", "127.0.0.1:1"),)

    async def find(self, shard: ShardId, position: int, deadline: float) -> Route:
        """Finds the one owner."""
        valid_until = asyncio.get_running_loop().time() + 2.0
        whole = KeyRange(0, POSITION_END)
        return Route(shard, whole, "stock-1", 1, 1, 1, valid_until, True)

    def attempt(self, route: Route) -> AbstractContextManager[bool]:
        """Counts nothing."""
        return nullcontext(True)

    def refused(self, route: Route) -> None:
        """Learns nothing."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Counts nothing."""
