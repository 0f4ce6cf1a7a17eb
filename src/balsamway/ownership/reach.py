"""A check whether a leader is partitioned from targets that peers reach."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.ownership.messages import ReachAnswer, ReachRequest
from balsamway.targets.orders import OrderLost, SurveyOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.ownership.host_context import HostContext
    from balsamway.slices import ShardId

MAX_PEERS_ASKED = 3
MAX_TARGETS_ASKED = 3
SURVEY_TIMEOUT_SECONDS = 0.2
"""How long a peer waits for each target."""
ANSWER_TIMEOUT_SECONDS = 0.3
"""How long the leader waits for a peer, which itself waits for targets."""


async def any_peer_reaches_target(
    host_context: HostContext, shard: ShardId, epoch: int, targets: Sequence[str]
) -> bool:
    """Ask a few peers whether they reach any of a few targets.

    Args:
        host_context: This host's identity and interfaces.
        shard: The shard that this host leads.
        epoch: The leader epoch.
        targets: The targets that do not answer this host.

    Returns:
        Whether at least one of the peers reaches at least one target.
    """
    live = host_context.directory.live_witnesses()
    peers = [witness.host for witness in live if witness != host_context.own_witness]
    chosen = host_context.rng.sample(peers, min(MAX_PEERS_ASKED, len(peers)))
    names = host_context.rng.sample(list(targets), min(MAX_TARGETS_ASKED, len(targets)))
    request = ReachRequest(shard, epoch, tuple(names))
    answers = await asyncio.gather(
        *(
            host_context.peers.call(peer, request, ANSWER_TIMEOUT_SECONDS)
            for peer in chosen
        )
    )
    return any(
        isinstance(answer, ReachAnswer) and answer.reached > 0 for answer in answers
    )


async def answer_reach_request(
    host_context: HostContext, request: ReachRequest
) -> ReachAnswer:
    """Survey the targets that a leader does not reach.

    Args:
        host_context: This host's identity and interfaces.
        request: The leader's request, which names the targets.

    Returns:
        The number of targets that answered this host.
    """
    order = SurveyOrder(request.shard, request.epoch)
    targets = [host_context.directory.target(name) for name in request.targets]
    results = await asyncio.gather(
        *(
            host_context.control.survey(target, order, SURVEY_TIMEOUT_SECONDS)
            for target in targets
            if target is not None
        )
    )
    reached = [result for result in results if not isinstance(result, OrderLost)]
    return ReachAnswer(len(reached))
