"""What happens during a demonstration, one event after the other."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from balsamway.demo.event_report import EventReport
from balsamway.standins.server.server_faults import ServerFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.configuration import MemberConfiguration, Service
    from balsamway.demo.deployment import Deployment
    from balsamway.demo.embedded_member import EmbeddedMember

CALM_SECONDS = 1.5
HOT_SECONDS = 2.0
LOSS_SECONDS = 4.5
LEAVING_TIMEOUT_SECONDS = 20.0
IN_FORCE_TIMEOUT_SECONDS = 4.0
LONGER_TIMEOUT_FACTOR = 1.5

logger = logging.getLogger(__name__)


class Scenario:
    """Runs load through hot keys, a loss, a planned stop and a change."""

    def __init__(
        self,
        deployment: Deployment,
        requests_per_second: float,
        tell: Callable[[str], None],
    ) -> None:
        """Prepares the scenario.

        Args:
            deployment: The deployment, started.
            requests_per_second: The load of each member.
            tell: Told of each event as it begins.
        """
        self._deployment = deployment
        self._requests_per_second = requests_per_second
        self._tell = tell
        self._events: list[EventReport] = []

    async def run(self) -> tuple[EventReport, ...]:
        """Runs the events in order.

        Returns:
            What was seen of each.
        """
        first, *others = self._deployment.members
        last = others[-1] if others else first
        await self._load()
        await self._change_hot_keys()
        await self._lose_server(first)
        await self._stop_server(last)
        await self._accept_change(first)
        self._tell("letting the last requests end")
        for member in self._deployment.members:
            if member.caller is not None:
                await member.caller.finish()
        return tuple(self._events)

    async def _load(self) -> None:
        self._tell("callers begin, with a few hot keys each")
        for member in self._deployment.members:
            await member.call(self._requests_per_second)
        await asyncio.sleep(CALM_SECONDS)

    async def _change_hot_keys(self) -> None:
        self._tell("the hot keys change")
        for member in self._deployment.members:
            if member.caller is not None:
                member.caller.change_hot_set()
        await asyncio.sleep(HOT_SECONDS)

    async def _lose_server(self, member: EmbeddedMember) -> None:
        service = member.exclusive_services()[0]
        server = member.servers_of(service.name)[0]
        self._tell(f"{server.name} is lost")
        server.faults = ServerFaults(frozen=True)
        await asyncio.sleep(LOSS_SECONDS)

    async def _stop_server(self, member: EmbeddedMember) -> None:
        service = member.exclusive_services()[0]
        server = member.servers_of(service.name)[-1]
        self._tell(f"{server.name} is asked to leave")
        begin = asyncio.get_running_loop().time()
        await server.leave()
        self._deployment.platform.put_host(server.host)
        await asyncio.wait_for(server.wait_drained(), LEAVING_TIMEOUT_SECONDS)
        await server.stop()
        self._deployment.platform.remove_host(server.name)
        took = asyncio.get_running_loop().time() - begin
        self._events.append(EventReport(f"{server.name} left", took))

    async def _accept_change(self, member: EmbeddedMember) -> None:
        self._tell(f"a change to {member.name}'s configuration is accepted")
        changed = _with_longer_timeouts(member.configuration)
        version = await self._deployment.accept(changed, 1)
        took = await self._deployment.wait_for(
            lambda: member.in_force(version),
            f"{member.name}: version {version}",
            IN_FORCE_TIMEOUT_SECONDS,
        )
        self._events.append(
            EventReport(f"{member.name} version {version} in force everywhere", took)
        )
        await asyncio.sleep(CALM_SECONDS)


def _with_longer_timeouts(configuration: MemberConfiguration) -> MemberConfiguration:
    services = tuple(map(_longer_service, configuration.services))
    return dataclasses.replace(configuration, services=services)


def _longer_service(service: Service) -> Service:
    kinds = tuple(
        dataclasses.replace(
            kind, timeout_seconds=kind.timeout_seconds * LONGER_TIMEOUT_FACTOR
        )
        for kind in service.kinds
    )
    return dataclasses.replace(service, kinds=kinds)
