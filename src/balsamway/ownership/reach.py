"""Tells a leader that is cut off from servers that are lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.ownership.messages import ReachAnswer, ReachRequest
from balsamway.servers.orders import OrderLost, SurveyOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.ownership.cluster import Cluster
    from balsamway.slices import ShardId

PEERS_ASKED = 3
SERVERS_ASKED = 3
SURVEY_TIMEOUT_SECONDS = 0.2
ANSWER_TIMEOUT_SECONDS = 0.3


async def peer_reaches(
    cluster: Cluster, shard: ShardId, epoch: int, servers: Sequence[str]
) -> bool:
    """Asks a few peers whether they reach any of a few servers.

    Args:
        cluster: This host and its surroundings.
        shard: The shard that this host leads.
        epoch: The leader's epoch.
        servers: The servers that do not answer this host.

    Returns:
        Whether some peer reaches some server.
    """
    live = cluster.directory.live_witnesses()
    peers = [one.host for one in live if one != cluster.me]
    chosen = cluster.rng.sample(peers, min(PEERS_ASKED, len(peers)))
    names = cluster.rng.sample(list(servers), min(SERVERS_ASKED, len(servers)))
    request = ReachRequest(shard, epoch, tuple(names))
    answers = await asyncio.gather(
        *(cluster.peers.call(one, request, ANSWER_TIMEOUT_SECONDS) for one in chosen)
    )
    return any(isinstance(one, ReachAnswer) and one.reached > 0 for one in answers)


async def answer_reach(cluster: Cluster, request: ReachRequest) -> ReachAnswer:
    """Finds out for a leader which servers this host reaches.

    Args:
        cluster: This host and its surroundings.
        request: The leader's question.

    Returns:
        How many of the servers answered.
    """
    order = SurveyOrder(request.shard, request.epoch)
    found = [cluster.directory.server(name) for name in request.servers]
    results = await asyncio.gather(
        *(
            cluster.control.survey(server, order, SURVEY_TIMEOUT_SECONDS)
            for server in found
            if server is not None
        )
    )
    reached = [one for one in results if not isinstance(one, OrderLost)]
    return ReachAnswer(len(reached))
