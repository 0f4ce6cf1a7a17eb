"""Takes over from peers what the store does not tell this host."""

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

ASK_SECONDS = 0.4
"""How often a peer is asked while the store does not answer."""
ANSWER_SECONDS = 0.5
FRESH_SECONDS = 2.5
"""How old what a host hands on may be; a watch answers every two seconds."""

logger = logging.getLogger(__name__)


class ObjectRelay(mode.Service):
    """Asks one peer after another while a watch fails, and answers others.

    The store may turn some hosts away and serve the others, and a host may
    start while the store is away; its peers know what it needs.
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
        """Prepares the relay.

        Args:
            peers: The other entry hosts.
            addresses: The peer addresses that are known, by host.
            seeds: The peer addresses of some hosts, which may be out of date.
            own_address: The peer address of this host.
            watches: The watch of each kind.
            reporter: Knows who leads.
            rng: Chooses whom to ask.
        """
        super().__init__()
        self._peers = peers
        self._addresses = addresses
        self._watches = watches
        self._reporter = reporter
        self._rng = rng
        for seed in seeds:
            if seed != own_address:
                addresses.setdefault(seed, seed)
        peers.register_handler(ObjectsQuery, self._on_query)

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.sleep(ASK_SECONDS)
            if any(watch.is_failing for watch in self._watches.values()):
                await self._ask()

    async def _ask(self) -> None:
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
        answer = await self._peers.call(host, query, ANSWER_SECONDS)
        if not isinstance(answer, ObjectsAnswer):
            return
        for kind, objects in answer.objects.items():
            watch = self._watches.get(kind)
            if watch is not None:
                watch.replace(objects, answer.revisions[kind])
        if answer.leader is not None:
            self._reporter.on_leader_named(answer.leader)
        for name, address in answer.peers.items():
            self._addresses.setdefault(name, address)

    async def _on_query(self, sender: str, query: Any) -> ObjectsAnswer:
        known = {
            kind: watch
            for kind, revision in query.revisions.items()
            if (watch := self._watches.get(kind)) is not None
            and _is_fresh(watch)
            and watch.known_revision > revision
        }
        return ObjectsAnswer(
            {kind: watch.known_revision for kind, watch in known.items()},
            {kind: watch.objects for kind, watch in known.items()},
            self._reporter.known_leader,
            dict(self._addresses),
        )


def _is_fresh(watch: KindWatch) -> bool:
    age = watch.age_seconds
    return not watch.is_failing and age is not None and age < FRESH_SECONDS
