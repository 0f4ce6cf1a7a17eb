"""Probe targets to learn that they drain before the host list shows it."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, TypeAlias

import aiohttp
import mode
import msgspec

from balsamway.membership.target_health import TargetHealth
from balsamway.rendezvous import weight
from balsamway.targets.bounded_read import read_bounded

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from balsamway.membership.membership_service import MembershipService
    from balsamway.store import Host

PROBERS_OF_A_TARGET = 2
"""The number of entry hosts that probe each target."""
PROBE_INTERVAL_SECONDS = 1.0
"""The pause between two rounds of probes."""
PROBE_TIMEOUT_SECONDS = 0.8
"""The longest time for the probe of one target."""

logger = logging.getLogger(__name__)

ProbersOf: TypeAlias = "Callable[[Host], Collection[str]]"


class TargetProber(mode.Service):
    """Probe the targets that this host is responsible for.

    Each target is probed by two entry hosts, however many there are. These
    are chosen from the list of hosts, whether or not a heartbeat of them
    arrived recently. Otherwise, hosts that are too busy to receive each
    other's heartbeats would probe more targets. The load in a target's report
    is not used.
    """

    def __init__(self, membership: MembershipService, probers_of: ProbersOf) -> None:
        """Create the prober.

        Args:
            membership: Provides the targets, and is told of each target that
                reports itself as draining.
            probers_of: Return the entry hosts that may probe a target.
        """
        super().__init__()
        self._membership = membership
        self._probers_of = probers_of
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Open the HTTP client."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=1),
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS),
        )

    async def on_stop(self) -> None:
        """Close the HTTP client."""
        if self._session is not None:
            await self._session.close()

    @mode.Service.task
    async def _probe_all(self) -> None:
        while not self.should_stop:
            own_targets = [
                target
                for target in self._membership.all_targets()
                if self._is_prober_of(target)
            ]
            await asyncio.gather(*(self._probe(target) for target in own_targets))
            await self.sleep(PROBE_INTERVAL_SECONDS)

    def _is_prober_of(self, target: Host) -> bool:
        hosts = self._probers_of(target)
        ranked = sorted(hosts, key=lambda host: weight(target.name, host))
        return self._membership.host.name in ranked[:PROBERS_OF_A_TARGET]

    async def _probe(self, target: Host) -> None:
        if self._session is None:
            return
        try:
            async with self._session.get(f"http://{target.address}/health") as response:
                health = msgspec.json.decode(
                    await read_bounded(response), type=TargetHealth
                )
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            logger.debug("target gave no health", extra={"target": target.name})
            return
        if health.state == "draining":
            self._membership.mark_leaving(target.name)
