"""A check whether a leader is partitioned from targets that peers reach."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.ownership.messages import ReachAnswer, ReachRequest
from balsamway.targets.orders import OrderLost, SurveyOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.ownership.cluster import Cluster
    from balsamway.slices import ShardId

MAX_PEERS_ASKED = 3
MAX_TARGETS_ASKED = 3
SURVEY_TIMEOUT_SECONDS = 0.2
"""How long a peer waits for each target."""
ANSWER_TIMEOUT_SECONDS = 0.3
"""How long the leader waits for a peer, which itself waits for targets."""


async def any_peer_reaches_target(
    cluster: Cluster, shard: ShardId, epoch: int, targets: Sequence[str]
) -> bool:
    """Ask a few peers whether they reach any of a few targets.

    Args:
        cluster: This host's identity and interfaces.
        shard: The shard that this host leads.
        epoch: The leader epoch.
        targets: The targets that do not answer this host.

    Returns:
        Whether at least one of the peers reaches at least one target.
    """
    live = cluster.directory.live_witnesses()
    peers = [witness.host for witness in live if witness != cluster.me]
    chosen = cluster.rng.sample(peers, min(MAX_PEERS_ASKED, len(peers)))
    names = cluster.rng.sample(list(targets), min(MAX_TARGETS_ASKED, len(targets)))
    request = ReachRequest(shard, epoch, tuple(names))
    answers = await asyncio.gather(
        *(cluster.peers.call(peer, request, ANSWER_TIMEOUT_SECONDS) for peer in chosen)
    )
    return any(
        isinstance(answer, ReachAnswer) and answer.reached > 0 for answer in answers
    )


async def answer_reach_request(cluster: Cluster, request: ReachRequest) -> ReachAnswer:
    """Survey the targets that a leader does not reach.

    Args:
        cluster: This host's identity and interfaces.
        request: The leader's request, which names the targets.

    Returns:
        The number of targets that answered this host.
    """
    order = SurveyOrder(request.shard, request.epoch)
    targets = [cluster.directory.target(name) for name in request.targets]
    results = await asyncio.gather(
        *(
            cluster.control.survey(target, order, SURVEY_TIMEOUT_SECONDS)
            for target in targets
            if target is not None
        )
    )
    reached = [result for result in results if not isinstance(result, OrderLost)]
    return ReachAnswer(len(reached))
