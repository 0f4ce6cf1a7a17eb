"""Pass the leader's watches of the store on to the other entry hosts."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import mode

from balsamway.clock import now
from balsamway.node.messages import ObjectsChanged, StoreProgress

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from balsamway.keyspace.leader_lease import LeaderLease
    from balsamway.keyspace.stored_lease import StoredLease
    from balsamway.peers.peers import Peers
    from balsamway.store.batch import Batch
    from balsamway.store.kind_watch import KindWatch

MAX_WATCH_SECONDS = 2.0
"""The longest time that one watch call waits for a change. It bounds how long
a connection that no longer delivers data can hide a change. A change must be
in force two seconds after it was made."""
MAX_LEADER_WATCH_SECONDS = 0.7
"""The longest time that one watch call of the leader waits for a change. It
is shorter than `MAX_WATCH_SECONDS` so that the last response is recent enough
to confirm the copies of the other hosts until the leader's next message; see
`CONFIRMATION_SECONDS`."""
PROGRESS_INTERVAL_SECONDS = 0.4
"""The interval at which the leader confirms the copies of the other hosts.
The leader confirms twice in the time for which a response of the store is
still relied on after the longest wait of a watch. That leaves room for a
late message."""


class WatchRelay(mode.Service):
    """Send the leader's changes to the other hosts, and apply them there.

    A host whose copy is confirmed by the leader makes no calls to the store.
    It calls the store again as soon as a message of the leader is missing, is
    late, or refers to changes that the host did not receive.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        hosts: Callable[[], Iterable[str]],
        watches: Mapping[str, KindWatch],
        lease: LeaderLease,
    ) -> None:
        """Create the relay and register its handlers.

        Args:
            host: The name of this host.
            peers: The connections to the other entry hosts.
            hosts: Return the names of the hosts that the leader knows.
            watches: The watch of each kind.
            lease: The leader lease, which says whether this host leads.
        """
        super().__init__()
        self._host = host
        self._peers = peers
        self._hosts = hosts
        self._watches = watches
        self._lease = lease
        self._epoch = 0
        """The highest epoch of which progress was received."""
        self._min_delay = float("inf")
        """The smallest difference, within that epoch, between the local event
        loop time at receipt and the leader's at sending. It contains the
        unknown offset between the two clocks."""
        lease.on_resignation = self._on_resignation
        for kind, watch in watches.items():
            watch.add_listener(functools.partial(self._on_batch, kind))
        peers.register_handler(ObjectsChanged, self._on_changed)
        peers.register_handler(StoreProgress, self._on_progress)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            stored = self._lease.stored_lease
            for watch in self._watches.values():
                watch.wait_seconds = (
                    MAX_WATCH_SECONDS if stored is None else MAX_LEADER_WATCH_SECONDS
                )
            if stored is not None and self._lease.has_authority(stored.lease.epoch):
                self._send(StoreProgress(now(), stored, self._progress()))
            await self.sleep(PROGRESS_INTERVAL_SECONDS)

    def _progress(self) -> dict[str, tuple[int, int, float]]:
        return {
            kind: (watch.last_change_revision, watch.known_revision, age)
            for kind, watch in self._watches.items()
            if not watch.is_failing and (age := watch.age_seconds) is not None
        }

    def _on_batch(self, kind: str, batch: Batch) -> None:
        """Send the changes of one watch response, while this host leads."""
        epoch = self._lease.epoch
        if epoch is not None and not batch.is_empty:
            self._send(ObjectsChanged(epoch, kind, batch))

    def _on_resignation(self, stored: StoredLease) -> None:
        """Report the free lease, so that another host may claim it."""
        self._send(StoreProgress(now(), stored, {}))

    def _send(self, message: ObjectsChanged | StoreProgress) -> None:
        for host in self._hosts():
            if host != self._host:
                self._peers.send(host, message)

    async def _on_changed(self, sender: str, message: Any) -> None:
        watch = self._watches.get(message.kind)
        if watch is not None and message.epoch >= self._epoch:
            watch.on_batch(message.batch)

    async def _on_progress(self, sender: str, message: Any) -> None:
        epoch = message.stored.lease.epoch
        if epoch < self._epoch or self._lease.epoch is not None:
            return
        delay = now() - message.sent_at
        if epoch > self._epoch:
            self._epoch, self._min_delay = epoch, delay
        self._min_delay = min(self._min_delay, delay)
        self._lease.on_leader_reported(message.stored)
        # The age in a message does not include the time for which a network
        # partition delayed the message.
        extra_delay = delay - self._min_delay
        for kind, (changed, known, age) in message.kinds.items():
            watch = self._watches.get(kind)
            if watch is not None:
                watch.on_confirmed(changed, known, age + extra_delay)
