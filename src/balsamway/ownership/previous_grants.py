"""The report of a previous leader's grants to its successor."""

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
    from balsamway.ownership.claim import ClaimWon
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.shard_leader import ShardLeader

REPORT_TIMEOUT_SECONDS = 0.1
"""How long a new leader waits for the report of the previous one.

The wait is part of the 5 s after the loss of a leader. A previous leader that
is lost does not answer at all.
"""


class PreviousGrants:
    """The grants of a leader at the time its authority ended.

    The report is complete. A leader records each grant before it sends it, and
    sends none after its authority has ended.
    """

    def __init__(self, leader: ShardLeader) -> None:
        """Copy the state of a leader that no longer acts.

        Args:
            leader: A leader whose authority has ended.
        """
        context = leader.context
        previous_expire_at = leader.previous_grants_expire_at
        self._clock_rate_factor = context.cluster.clock_rate_factor
        self._grants_expire_at = {
            keeper.name: keeper.grants_expire_at for keeper in context.keepers.values()
        }
        self._enforces_epochs = {
            keeper.name: keeper.enforces_epochs for keeper in context.keepers.values()
        }
        self._entries = context.state.record.slices
        # A leader grants a slice to another target only once the old owner no
        # longer holds it. So other targets can hold a slice only by a grant
        # of leaders before this one.
        self._others_expire_at = {
            entry.range: (
                previous_expire_at if context.state.is_blocked(entry.range) else 0.0
            )
            for entry in self._entries
        }
        self._views_expire_at = max(
            [previous_expire_at, *context.views.view_expiries.values()]
        )
        self.leader = context.cluster.me
        self.epoch = leader.epoch

    def answer(self) -> LapseAnswer:
        """Return how long the grants and views last, counted from now."""
        return LapseAnswer(
            tuple(
                GrantedSlice(
                    entry.range,
                    entry.owner,
                    entry.epoch,
                    self._remaining_seconds(self._others_expire_at[entry.range]),
                )
                for entry in self._entries
            ),
            tuple(
                TargetLapse(
                    name,
                    self._remaining_seconds(expires_at),
                    self._enforces_epochs[name],
                )
                for name, expires_at in self._grants_expire_at.items()
            ),
            self._remaining_seconds(self._views_expire_at),
        )

    def _remaining_seconds(self, expires_at: float) -> float:
        """Return the time left, also for a host whose clock is faster."""
        return max(0.0, expires_at - now()) * self._clock_rate_factor


async def request_previous_grants(
    cluster: Cluster, claimed: ClaimWon
) -> LapseAnswer | None:
    """Ask the previous leader which of its grants may not have expired.

    Args:
        cluster: This host's identity and interfaces.
        claimed: The claim that was won.

    Returns:
        The report; None if the previous leader does not answer, is not known
        or did not lead by the previous epoch.
    """
    leader = claimed.previous_leader
    if leader is None:
        return None
    epoch = claimed.record.leader_epoch - 1
    request = LapseRequest(claimed.record.shard, epoch, leader)
    answer = await cluster.peers.call(leader.host, request, REPORT_TIMEOUT_SECONDS)
    return answer if isinstance(answer, LapseAnswer) else None
