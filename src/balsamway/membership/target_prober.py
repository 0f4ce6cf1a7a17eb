"""Asks targets whether they are leaving, ahead of the lagging host list."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, TypeAlias

import aiohttp
import mode
import msgspec

from balsamway.membership.target_health import TargetHealth
from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from balsamway.membership.membership_service import MembershipService
    from balsamway.store import Host

PROBERS_OF_A_TARGET = 2
PROBE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.8

logger = logging.getLogger(__name__)

ProbersOf: TypeAlias = "Callable[[Host], Collection[str]]"


class TargetProber(mode.Service):
    """Probes the targets that fall to this host among the entry hosts.

    Two entry hosts probe each target, whatever their number. The choice goes
    by the list and not by who was heard from lately, so that hosts that are
    too busy to hear each other do not probe more. What a target says of its
    load is not used.
    """

    def __init__(self, membership: MembershipService, probers_of: ProbersOf) -> None:
        """Prepares the prober.

        Args:
            membership: Told of each target that says it is leaving.
            probers_of: Lists the entry hosts that may probe a target.
        """
        super().__init__()
        self._membership = membership
        self._probers_of = probers_of
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the client."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=1),
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS),
        )

    async def on_stop(self) -> None:
        """Closes the client."""
        if self._session is not None:
            await self._session.close()

    @mode.Service.task
    async def _probe_all(self) -> None:
        while not self.should_stop:
            mine = [
                target
                for target in self._membership.all_targets()
                if self._falls_to_this_host(target)
            ]
            await asyncio.gather(*(self._probe(target) for target in mine))
            await self.sleep(PROBE_SECONDS)

    def _falls_to_this_host(self, target: Host) -> bool:
        hosts = self._probers_of(target)
        ranked = sorted(hosts, key=lambda host: weight(target.name, host))
        return self._membership.host.name in ranked[:PROBERS_OF_A_TARGET]

    async def _probe(self, target: Host) -> None:
        if self._session is None:
            return
        try:
            async with self._session.get(f"http://{target.address}/health") as answer:
                health = msgspec.json.decode(await answer.read(), type=TargetHealth)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            logger.debug("target gave no health", extra={"target": target.name})
            return
        if health.state == "draining":
            self._membership.mark_leaving(target.name)
