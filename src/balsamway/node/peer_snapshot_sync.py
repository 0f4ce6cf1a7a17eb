"""Copy objects from peers while the store does not answer this host."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import mode

from balsamway.node.messages import ObjectsAnswer, ObjectsQuery

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from balsamway.node.load_reporter import LoadReporter
    from balsamway.peers.peers import Peers
    from balsamway.store.kind_watch import KindWatch

QUERY_INTERVAL_SECONDS = 0.4
"""The interval at which a peer is queried while the store does not answer."""
QUERY_TIMEOUT_SECONDS = 0.5
"""The longest wait for a peer's answer to a query."""
MAX_SNAPSHOT_AGE_SECONDS = 2.5
"""The maximum age of objects that a host passes on to a peer, counted from
the store's last response. A watch is answered every two seconds."""

logger = logging.getLogger(__name__)


class PeerSnapshotSync(mode.Service):
    """Copy snapshots from peers while a watch fails, and serve those of peers.

    The store may refuse some hosts and serve others, and a host may start
    while the store is unavailable. In both cases the peers have the objects
    that the host needs. Each query goes to one peer chosen at random.
    """

    def __init__(
        self,
        peers: Peers,
        addresses: dict[str, str],
        seeds: tuple[str, ...],
        own_address: str,
        watches: Mapping[str, KindWatch],
        reporter: LoadReporter,
        rng: random.Random,
    ) -> None:
        """Create the service and add the seeds to the known addresses.

        Args:
            peers: The connections to the other entry hosts.
            addresses: The known peer addresses, by host name; addresses that
                are learnt from peers are added.
            seeds: The peer addresses of some hosts, which may be out of date.
            own_address: The peer address of this host.
            watches: The watch of each kind.
            reporter: Provides the known leader and is told of leaders that
                peers report.
            rng: Chooses the peer to query.
        """
        super().__init__()
        self._peers = peers
        self._addresses = addresses
        self._watches = watches
        self._reporter = reporter
        self._rng = rng
        # The names of the seeds are not known, so their addresses are used.
        for seed in seeds:
            if seed != own_address:
                addresses.setdefault(seed, seed)
        peers.handle(ObjectsQuery, self._on_query)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(QUERY_INTERVAL_SECONDS)
            if any(watch.is_failing for watch in self._watches.values()):
                await self._query_peer()

    async def _query_peer(self) -> None:
        if not self._addresses:
            return
        host = self._rng.choice(sorted(self._addresses))
        query = ObjectsQuery(
            {
                kind: watch.known_revision
                for kind, watch in self._watches.items()
                if watch.is_failing
            }
        )
        answer = await self._peers.call(host, query, QUERY_TIMEOUT_SECONDS)
        if not isinstance(answer, ObjectsAnswer):
            return
        for kind, objects in answer.objects.items():
            watch = self._watches.get(kind)
            if watch is not None:
                watch.take_over(objects, answer.revisions[kind])
        if answer.leader is not None:
            self._reporter.update_known_leader(answer.leader)
        for name, address in answer.peers.items():
            self._addresses.setdefault(name, address)

    async def _on_query(self, sender: str, query: Any) -> ObjectsAnswer:
        newer = {
            kind: watch
            for kind, revision in query.revisions.items()
            if (watch := self._watches.get(kind)) is not None
            and _is_fresh(watch)
            and watch.known_revision > revision
        }
        return ObjectsAnswer(
            {kind: watch.known_revision for kind, watch in newer.items()},
            {kind: watch.objects for kind, watch in newer.items()},
            self._reporter.known_leader,
            dict(self._addresses),
        )


def _is_fresh(watch: KindWatch) -> bool:
    age = watch.age_seconds
    return not watch.is_failing and age is not None and age < MAX_SNAPSHOT_AGE_SECONDS
