"""Access to the store through peers while this host cannot reach it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from balsamway.clock import now
from balsamway.ownership._store_answers import (
    answer_from_result,
    read_result_from,
    write_result_from,
)
from balsamway.ownership.messages import StoreAnswer, StoreRead, StoreWrite
from balsamway.store import Unavailable, WriteUnknown

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable

    from balsamway.membership.directory import Directory
    from balsamway.peers.peers import Peers
    from balsamway.store import Store
    from balsamway.store.store import ReadResult, WriteResult

MAX_RELAYS = 2
"""How many peers are tried for one call."""
RELAY_TIMEOUT_SECONDS = 0.6
"""How long to wait for each of these peers."""
UNAVAILABLE_SECONDS = 2.0
"""How long the store counts as unavailable after a direct call failed.

A direct call fails if it was not possible or took too long. During this time
peers are tried first, and calls that peers relay to this host are refused.
"""

R = TypeVar("R")


class RelayedStore:
    """Calls the store directly, or through peers if it cannot be reached.

    Peers in other availability zones are tried first. A write is relayed only
    after it is known not to have been applied. If its outcome is unknown, the
    caller must read the object back.

    Args:
        host: This host's name.
        store: This host's direct access to the store.
        peers: The other entry hosts.
        directory: The entry hosts that are known.
        rng: Spreads the calls over peers.
    """

    def __init__(
        self,
        host: str,
        store: Store,
        peers: Peers,
        directory: Directory,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._store = store
        self._peers = peers
        self._directory = directory
        self._rng = rng
        self._unavailable_until = 0.0
        peers.handle(StoreRead, self._on_store_read)
        peers.handle(StoreWrite, self._on_store_write)

    @property
    def _is_store_unavailable(self) -> bool:
        return now() < self._unavailable_until

    async def read(self, name: str) -> ReadResult:
        """Read one object; see `Store`."""
        if self._is_store_unavailable:
            relayed = await self._read_through_peers(name)
            if not isinstance(relayed, Unavailable):
                return relayed
            return await self._call_directly(self._store.read(name))
        result = await self._call_directly(self._store.read(name))
        if isinstance(result, Unavailable):
            return await self._read_through_peers(name)
        return result

    async def write(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Write one object if its version is as expected; see `Store`."""
        call = StoreWrite(name, body, expected_version)
        if self._is_store_unavailable:
            relayed = await self._write_through_peers(call)
            if not isinstance(relayed, Unavailable):
                return relayed
            return await self._call_directly(
                self._store.write(name, body, expected_version)
            )
        result = await self._call_directly(
            self._store.write(name, body, expected_version)
        )
        if isinstance(result, Unavailable):
            return await self._write_through_peers(call)
        return result

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        """Wait until an object has changed; see `Store`.

        A watch is not relayed. If the store cannot be reached, the object is
        read through peers once, whether or not it has changed.
        """
        result = await self._store.watch(name, after_version, timeout_seconds)
        if isinstance(result, Unavailable):
            return await self.read(name)
        return result

    async def _read_through_peers(self, name: str) -> ReadResult:
        for host in self._choose_relays():
            answer = await self._peers.call(
                host, StoreRead(name), RELAY_TIMEOUT_SECONDS
            )
            if isinstance(answer, StoreAnswer):
                relayed = read_result_from(answer)
                if not isinstance(relayed, Unavailable):
                    return relayed
        return Unavailable("no peer reaches the store")

    async def _write_through_peers(self, call: StoreWrite) -> WriteResult:
        for host in self._choose_relays():
            answer = await self._peers.call(host, call, RELAY_TIMEOUT_SECONDS)
            if not isinstance(answer, StoreAnswer):
                return WriteUnknown("no answer from the peer that was asked")
            relayed = write_result_from(answer)
            if not isinstance(relayed, Unavailable):
                return relayed
        return Unavailable("no peer reaches the store")

    async def _call_directly(self, call: Awaitable[R]) -> R:
        """Await a direct call, and note if it did not reach the store."""
        try:
            result = await call
        except asyncio.CancelledError:
            # The caller has timed out. Later calls go through peers first.
            self._unavailable_until = now() + UNAVAILABLE_SECONDS
            raise
        if isinstance(result, Unavailable):
            self._unavailable_until = now() + UNAVAILABLE_SECONDS
        return result

    def _choose_relays(self) -> list[str]:
        zones = {host.name: host.zone for host in self._directory.entry_hosts()}
        local_zone = zones.get(self._host, "")
        live = [
            witness.host
            for witness in self._directory.live_witnesses()
            if witness.host != self._host
        ]
        self._rng.shuffle(live)
        live.sort(key=lambda name: zones.get(name, "") == local_zone)
        return live[:MAX_RELAYS]

    async def _on_store_read(self, sender: str, call: StoreRead) -> StoreAnswer:
        if self._is_store_unavailable:
            return answer_from_result(
                call.name, Unavailable("the store cannot be reached")
            )
        return answer_from_result(
            call.name, await self._call_directly(self._store.read(call.name))
        )

    async def _on_store_write(self, sender: str, call: StoreWrite) -> StoreAnswer:
        if self._is_store_unavailable:
            return answer_from_result(
                call.name, Unavailable("the store cannot be reached")
            )
        work = self._store.write(call.name, call.body, call.expected_version)
        return answer_from_result(call.name, await self._call_directly(work))
