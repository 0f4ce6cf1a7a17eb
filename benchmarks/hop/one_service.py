"""A configuration and a directory of one service with one target."""

from __future__ import annotations

import asyncio
from contextlib import nullcontext
from typing import TYPE_CHECKING

from balsamway.configuration import (
    RequestKind,
    Service,
    Urgency,
    WorkspaceConfiguration,
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
WORKSPACE = WorkspaceConfiguration("hop", 1, "c", (Zone("a", "r", 1),), SERVICES, ())


class OneService:
    """Stands for the configuration, the directory, routes and load counts."""

    def __init__(self, target_address: str) -> None:
        self._targets = {
            service.name: Host(
                f"{service.name}-1",
                HostRole.TARGET,
                "a",
                target_address,
                WORKSPACE.workspace,
                service.name,
            )
            for service in SERVICES
        }
        self._listed = {name: (host,) for name, host in self._targets.items()}

    def workspace(self, name: str) -> WorkspaceConfiguration:
        """Gives the one workspace."""
        return WORKSPACE

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Lists the one workspace."""
        return (WORKSPACE,)

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Finds the workspace by its token."""
        return WORKSPACE if token == TOKEN else None

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Lists the one target of a service."""
        return self._listed[service]

    def target(self, name: str) -> Host | None:
        """Finds a target by name."""
        return self._targets[name.removesuffix("-1")]

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists no entry host but this."""
        return (Host("g1", HostRole.ENTRY, "a", "127.0.0.1:1"),)

    async def find(self, shard: ShardId, position: int, deadline: float) -> Route:
        """Finds the one owner."""
        valid_until = asyncio.get_running_loop().time() + 2.0
        whole = KeyRange(0, POSITION_END)
        return Route(shard, whole, "stock-1", 1, 1, 1, valid_until, True)

    def track_attempt(self, route: Route) -> AbstractContextManager[bool]:
        """Counts nothing."""
        return nullcontext(True)

    def report_refusal(self, route: Route) -> None:
        """Learns nothing."""

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Counts nothing."""
