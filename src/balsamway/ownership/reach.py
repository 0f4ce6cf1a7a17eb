"""Tells a leader that is cut off from targets that are lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.ownership.messages import ReachAnswer, ReachRequest
from balsamway.targets.orders import OrderLost, SurveyOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.ownership.host_context import HostContext
    from balsamway.slices import ShardId

PEERS_ASKED = 3
TARGETS_ASKED = 3
SURVEY_TIMEOUT_SECONDS = 0.2
ANSWER_TIMEOUT_SECONDS = 0.3


async def peer_reaches(
    host_context: HostContext, shard: ShardId, epoch: int, targets: Sequence[str]
) -> bool:
    """Asks a few peers whether they reach any of a few targets.

    Args:
        host_context: This host and its surroundings.
        shard: The shard that this host leads.
        epoch: The leader's epoch.
        targets: The targets that do not answer this host.

    Returns:
        Whether some peer reaches some target.
    """
    live = host_context.directory.live_witnesses()
    peers = [one.host for one in live if one != host_context.own_witness]
    chosen = host_context.rng.sample(peers, min(PEERS_ASKED, len(peers)))
    names = host_context.rng.sample(list(targets), min(TARGETS_ASKED, len(targets)))
    request = ReachRequest(shard, epoch, tuple(names))
    answers = await asyncio.gather(
        *(
            host_context.peers.call(one, request, ANSWER_TIMEOUT_SECONDS)
            for one in chosen
        )
    )
    return any(isinstance(one, ReachAnswer) and one.reached > 0 for one in answers)


async def answer_reach(host_context: HostContext, request: ReachRequest) -> ReachAnswer:
    """Finds out for a leader which targets this host reaches.

    Args:
        host_context: This host and its surroundings.
        request: The leader's question.

    Returns:
        How many of the targets answered.
    """
    order = SurveyOrder(request.shard, request.epoch)
    found = [host_context.directory.target(name) for name in request.targets]
    results = await asyncio.gather(
        *(
            host_context.control.survey(target, order, SURVEY_TIMEOUT_SECONDS)
            for target in found
            if target is not None
        )
    )
    reached = [one for one in results if not isinstance(one, OrderLost)]
    return ReachAnswer(len(reached))
