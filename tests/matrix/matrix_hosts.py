from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.store import Host, Unavailable

if TYPE_CHECKING:
    from tests.fakes.store import FakeStore

HOST_LIST_LAG_SECONDS = 1.0


class MatrixHosts:
    """The platform's list of hosts.

    The list lags by `HOST_LIST_LAG_SECONDS` and is unavailable whenever the
    store is."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self._hosts: dict[str, Host] = {}
        self._history: list[tuple[float, tuple[Host, ...]]] = []

    def put(self, host: Host) -> None:
        self._hosts[host.name] = host
        self._record_history()

    def remove(self, name: str) -> None:
        self._hosts.pop(name, None)
        self._record_history()

    def listed(self) -> tuple[Host, ...]:
        seen_at = asyncio.get_running_loop().time() - HOST_LIST_LAG_SECONDS
        for changed_at, hosts in reversed(self._history):
            if changed_at <= seen_at:
                return hosts
        return self._history[0][1]

    def client(self, host: str) -> MatrixHostList:
        return MatrixHostList(self, host)

    def _record_history(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.append((now, tuple(self._hosts.values())))


class MatrixHostList:
    """The HostList of one entry host."""

    def __init__(self, hosts: MatrixHosts, host: str) -> None:
        self._hosts = hosts
        self._host = host

    async def hosts(self) -> tuple[Host, ...] | Unavailable:
        await asyncio.sleep(self._hosts.store.latency_seconds)
        if not self._hosts.store.reachable(self._host):
            return Unavailable("outage")
        return self._hosts.listed()
