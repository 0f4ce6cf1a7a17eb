"""Lets the leader follow the store on behalf of the other entry hosts."""

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

WATCH_SECONDS = 2.0
"""How long a watch waits at most. It bounds how long a connection that went
silent hides a change, which must be in force two seconds later."""
LEADER_WATCH_SECONDS = 0.7
"""The same for the leader, so that its answers are fresh enough to vouch for
the others until its next notice; see `CONFIRMATION_SECONDS`."""
PROGRESS_SECONDS = 0.4
"""How often the leader vouches; twice within what an answer is relied on
after the longest wait of its watch, with room for a late notice."""


class WatchRelay(mode.Service):
    """Hands the leader's finds on, and takes them over on the other hosts.

    A host whose leader vouches for it makes no calls to the store. It makes
    its own again as soon as a notice is missing, is late, or tells of changes
    that it did not get.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        hosts: Callable[[], Iterable[str]],
        watches: Mapping[str, KindWatch],
        lease: LeaderLease,
    ) -> None:
        """Prepares the relay.

        Args:
            host: The name of this host.
            peers: The other entry hosts.
            hosts: Gives the hosts that are known to the leader.
            watches: The watch of each kind.
            lease: Says who leads.
        """
        super().__init__()
        self._host = host
        self._peers = peers
        self._hosts = hosts
        self._watches = watches
        self._lease = lease
        self._epoch = 0
        self._least_delay = float("inf")
        lease.on_resignation = self._on_resignation
        for kind, watch in watches.items():
            watch.add_listener(functools.partial(self._on_found, kind))
        peers.register_handler(ObjectsChanged, self._on_changed)
        peers.register_handler(StoreProgress, self._on_progress)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            stored = self._lease.stored_lease
            for watch in self._watches.values():
                watch.wait_seconds = (
                    WATCH_SECONDS if stored is None else LEADER_WATCH_SECONDS
                )
            if stored is not None and self._lease.has_authority(stored.lease.epoch):
                self._send(StoreProgress(now(), stored, self._progress()))
            await self.sleep(PROGRESS_SECONDS)

    def _progress(self) -> dict[str, tuple[int, int, float]]:
        return {
            kind: (watch.last_change_revision, watch.known_revision, age)
            for kind, watch in self._watches.items()
            if not watch.is_failing and (age := watch.age_seconds) is not None
        }

    def _on_found(self, kind: str, batch: Batch) -> None:
        epoch = self._lease.epoch
        if epoch is not None and not batch.is_empty:
            self._send(ObjectsChanged(epoch, kind, batch))

    def _on_resignation(self, stored: StoredLease) -> None:
        """Tells the others that they may claim the lease."""
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
            self._epoch, self._least_delay = epoch, delay
        self._least_delay = min(self._least_delay, delay)
        self._lease.on_leader_reported(message.stored)
        # A notice that a cut held up is older than it says.
        held_up = delay - self._least_delay
        for kind, (changed, known, age) in message.kinds.items():
            watch = self._watches.get(kind)
            if watch is not None:
                watch.on_confirmed(changed, known, age + held_up)
