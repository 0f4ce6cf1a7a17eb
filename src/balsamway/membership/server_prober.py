"""Asks servers whether they are leaving, ahead of the lagging host list."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import aiohttp
import mode
import msgspec

from balsamway.membership.server_health import ServerHealth
from balsamway.rendezvous import weight

if TYPE_CHECKING:
    from balsamway.membership.membership_service import MembershipService
    from balsamway.platform import Host

PROBE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.8

logger = logging.getLogger(__name__)


class ServerProber(mode.Service):
    """Probes the servers that fall to this host among the live ones.

    One entry host probes each server, whatever the number of entry hosts.
    What a server says of its load is not used.
    """

    def __init__(self, membership: MembershipService) -> None:
        """Prepares the prober.

        Args:
            membership: Told of each server that says it is leaving.
        """
        super().__init__()
        self._membership = membership
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
            live = [one.host for one in self._membership.live_witnesses()]
            mine = [
                server
                for server in self._membership.all_servers()
                if self._falls_to_this_host(server, live)
            ]
            await asyncio.gather(*(self._probe(server) for server in mine))
            await self.sleep(PROBE_SECONDS)

    def _falls_to_this_host(self, server: Host, live: list[str]) -> bool:
        chosen = min(live, key=lambda host: weight(server.name, host))
        return chosen == self._membership.host.name

    async def _probe(self, server: Host) -> None:
        if self._session is None:
            return
        try:
            async with self._session.get(f"http://{server.address}/health") as answer:
                health = msgspec.json.decode(await answer.read(), type=ServerHealth)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            logger.debug("server gave no health", extra={"server": server.name})
            return
        if health.state == "draining":
            self._membership.mark_leaving(server.name)
