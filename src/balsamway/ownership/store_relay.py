"""Reaches the store through other hosts where this one cannot."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from balsamway.clock import now
from balsamway.ownership._store_answers import (
    answer_of,
    read_result_of,
    write_result_of,
)
from balsamway.ownership.messages import StoreAnswer, StoreRead, StoreWrite
from balsamway.store import Unavailable, WriteUnknown

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable

    from balsamway.membership.host_directory import HostDirectory
    from balsamway.peers.peers import Peers
    from balsamway.store import Store
    from balsamway.store.store import ReadResult, WriteResult

RELAYS_AT_MOST = 2
RELAY_TIMEOUT_SECONDS = 0.6
DOWN_SECONDS = 2.0
"""How long peers are asked first, and their own calls refused, after an own
call was not possible or took too long."""

R = TypeVar("R")


class RelayedStore:
    """Calls the store, or asks peers to where it cannot be reached.

    Peers of other availability zones are asked first. A write is passed on
    only after it is known not to have been carried out; one whose fate is
    unknown is left to the caller to settle by reading back.

    Args:
        host: This host's name.
        store: This host's own access to the store.
        peers: The other entry hosts.
        directory: Which entry hosts there are.
        rng: Spreads the calls over peers.
    """

    def __init__(
        self,
        host: str,
        store: Store,
        peers: Peers,
        directory: HostDirectory,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._store = store
        self._peers = peers
        self._directory = directory
        self._rng = rng
        self._down_until = 0.0
        peers.register_handler(StoreRead, self._on_store_read)
        peers.register_handler(StoreWrite, self._on_store_write)

    @property
    def _is_down(self) -> bool:
        return now() < self._down_until

    async def read(self, name: str) -> ReadResult:
        """Reads one object; see `Store`."""
        if self._is_down:
            passed_on = await self._read_by_peers(name)
            if not isinstance(passed_on, Unavailable):
                return passed_on
            return await self._own(self._store.read(name))
        result = await self._own(self._store.read(name))
        if isinstance(result, Unavailable):
            return await self._read_by_peers(name)
        return result

    async def write(
        self, name: str, body: bytes, expected_version: int | None
    ) -> WriteResult:
        """Updates one object if its version is as expected; see `Store`."""
        call = StoreWrite(name, body, expected_version)
        if self._is_down:
            passed_on = await self._write_by_peers(call)
            if not isinstance(passed_on, Unavailable):
                return passed_on
            return await self._own(self._store.write(name, body, expected_version))
        result = await self._own(self._store.write(name, body, expected_version))
        if isinstance(result, Unavailable):
            return await self._write_by_peers(call)
        return result

    async def watch(
        self, name: str, after_version: int | None, timeout_seconds: float
    ) -> ReadResult:
        """Waits until an object has changed; see `Store`.

        A watch is not passed on: where the store cannot be reached, peers
        are asked for the object as it is, once.
        """
        result = await self._store.watch(name, after_version, timeout_seconds)
        if isinstance(result, Unavailable):
            return await self.read(name)
        return result

    async def _read_by_peers(self, name: str) -> ReadResult:
        for host in self._relays():
            answer = await self._peers.call(
                host, StoreRead(name), RELAY_TIMEOUT_SECONDS
            )
            if isinstance(answer, StoreAnswer):
                passed_on = read_result_of(answer)
                if not isinstance(passed_on, Unavailable):
                    return passed_on
        return Unavailable("no peer reaches the store")

    async def _write_by_peers(self, call: StoreWrite) -> WriteResult:
        for host in self._relays():
            answer = await self._peers.call(host, call, RELAY_TIMEOUT_SECONDS)
            if not isinstance(answer, StoreAnswer):
                return WriteUnknown("no answer from the peer that was asked")
            passed_on = write_result_of(answer)
            if not isinstance(passed_on, Unavailable):
                return passed_on
        return Unavailable("no peer reaches the store")

    async def _own(self, call: Awaitable[R]) -> R:
        """Makes an own call, and notes whether the store was reached."""
        try:
            result = await call
        except asyncio.CancelledError:
            # The caller's time is over; the next call had better go elsewhere.
            self._down_until = now() + DOWN_SECONDS
            raise
        if isinstance(result, Unavailable):
            self._down_until = now() + DOWN_SECONDS
        return result

    def _relays(self) -> list[str]:
        zones = {host.name: host.zone for host in self._directory.entry_hosts()}
        own = zones.get(self._host, "")
        live = [
            one.host
            for one in self._directory.live_witnesses()
            if one.host != self._host
        ]
        self._rng.shuffle(live)
        live.sort(key=lambda name: zones.get(name, "") == own)
        return live[:RELAYS_AT_MOST]

    async def _on_store_read(self, sender: str, call: StoreRead) -> StoreAnswer:
        if self._is_down:
            return answer_of(call.name, Unavailable("the store cannot be reached"))
        return answer_of(call.name, await self._own(self._store.read(call.name)))

    async def _on_store_write(self, sender: str, call: StoreWrite) -> StoreAnswer:
        if self._is_down:
            return answer_of(call.name, Unavailable("the store cannot be reached"))
        work = self._store.write(call.name, call.body, call.expected_version)
        return answer_of(call.name, await self._own(work))
