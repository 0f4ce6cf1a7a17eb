"""Passes on, between leaders, what the one before last granted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.ownership.messages import (
    GrantedSlice,
    LapseAnswer,
    LapseRequest,
    TargetLapse,
)

if TYPE_CHECKING:
    from balsamway.ownership.claim import Claimed
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.shard_leader import ShardLeader

ASK_SECONDS = 0.1
"""How long a new leader waits for the word of the one before, of the 5 s
after a loss; a lost one does not answer at all."""


class LastGrants:
    """What one leader had granted when its authority ended.

    It is complete: a leader notes each grant before it sends it, and sends
    none after its authority has ended.
    """

    def __init__(self, leader: ShardLeader) -> None:
        """Takes in the state of a leader that acts no more.

        Args:
            leader: A leader whose authority has ended.
        """
        context = leader.context
        earlier = leader.earlier_until
        self._allowance = context.host_context.allowance
        self._held = {one.name: one.held_until for one in context.renewers.values()}
        self._checks = {one.name: one.checks for one in context.renewers.values()}
        self._entries = context.state.record.slices
        # A slice gets another owner only after the one before holds it no
        # more, but for what leaders before this one may have granted.
        self._others_until = {
            one.range: earlier if context.state.is_blocked(one.range) else 0.0
            for one in self._entries
        }
        self._views_until = max([earlier, *context.views.view_ends.values()])
        self.leader = context.host_context.own_witness
        self.epoch = leader.epoch

    def answer(self) -> LapseAnswer:
        """Says what may last yet, counted from this moment."""
        return LapseAnswer(
            tuple(
                GrantedSlice(
                    one.range,
                    one.owner,
                    one.epoch,
                    self._left(self._others_until[one.range]),
                )
                for one in self._entries
            ),
            tuple(
                TargetLapse(name, self._left(until), self._checks[name])
                for name, until in self._held.items()
            ),
            self._left(self._views_until),
        )

    def _left(self, until: float) -> float:
        """Gives the time left, also by the clock of a host that is faster."""
        return max(0.0, until - now()) * self._allowance


async def ask_for_last_grants(
    host_context: HostContext, claimed: Claimed
) -> LapseAnswer | None:
    """Asks the leader before what may still run of its grants.

    Args:
        host_context: This host and its surroundings.
        claimed: The claim that was won.

    Returns:
        Its answer; None where it does not answer, or was another one.
    """
    leader = claimed.previous
    if leader is None:
        return None
    epoch = claimed.record.leader_epoch - 1
    request = LapseRequest(claimed.record.shard, epoch, leader)
    answer = await host_context.peers.call(leader.host, request, ASK_SECONDS)
    return answer if isinstance(answer, LapseAnswer) else None
