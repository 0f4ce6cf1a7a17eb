"""The grants that a target stand-in holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.slices import KeyRange, ShardId
from balsamway.standins.target.shard_grant import ShardGrant
from balsamway.targets.orders import GrantedRange, GrantReport, OrderRefused

if TYPE_CHECKING:
    from balsamway.standins.target.grant_journal import GrantJournal
    from balsamway.targets.orders import GrantOrder, ReleaseOrder, SurveyOrder


class GrantTable:
    """Accepts orders by the rules of targets that check, or any order.

    All times are of the target's own clock.
    """

    def __init__(self, checks: bool, journal: GrantJournal) -> None:
        self._checks = checks
        self._journal = journal
        self._grants: dict[ShardId, ShardGrant] = {}

    def grant(self, order: GrantOrder, clock: float) -> GrantReport | OrderRefused:
        """Accepts or refuses a grant.

        Args:
            order: The grant.
            clock: The target's clock, in seconds.

        Returns:
            The state after the grant, or the refusal.
        """
        held = self._grants.setdefault(order.shard, ShardGrant())
        if self._is_older(held, order.leader_epoch, order.generation):
            return OrderRefused(held.leader_epoch, clock)
        held.leader_epoch = order.leader_epoch
        held.generation = order.generation
        held.ranges = order.ranges
        held.valid_until = order.valid_until
        self._journal.update(order.shard, held, clock)
        return self._state(held, clock)

    def release(self, order: ReleaseOrder, clock: float) -> GrantReport | OrderRefused:
        """Takes ranges from the target, at once.

        Args:
            order: The release.
            clock: The target's clock, in seconds.

        Returns:
            The state after the release, or the refusal.
        """
        held = self._grants.setdefault(order.shard, ShardGrant())
        if self._is_older(held, order.leader_epoch, order.generation):
            return OrderRefused(held.leader_epoch, clock)
        held.leader_epoch = order.leader_epoch
        held.generation = order.generation
        for released in order.ranges:
            held.ranges = _without(held.ranges, released)
        self._journal.update(order.shard, held, clock)
        return self._state(held, clock)

    def survey(self, order: SurveyOrder, clock: float) -> GrantReport | OrderRefused:
        """Tells what the target holds of a shard.

        Args:
            order: The survey.
            clock: The target's clock, in seconds.

        Returns:
            The state, or the refusal of an older epoch.
        """
        held = self._grants.setdefault(order.shard, ShardGrant())
        if self._checks and order.leader_epoch < held.leader_epoch:
            return OrderRefused(held.leader_epoch, clock)
        if order.leader_epoch > held.leader_epoch:
            held.leader_epoch = order.leader_epoch
            held.generation = -1
        return self._state(held, clock)

    def state(self, shard: ShardId, clock: float) -> GrantReport:
        """Tells what the target holds of a shard.

        Args:
            shard: The shard.
            clock: The target's clock, in seconds.

        Returns:
            The state.
        """
        return self._state(self._grants.get(shard, ShardGrant()), clock)

    def covers(self, shard: ShardId, position: int, epoch: int, clock: float) -> bool:
        """Tells whether a request may run under a grant.

        Args:
            shard: The shard of the request's key.
            position: The position of the key.
            epoch: The fencing token of the request.
            clock: The target's clock, in seconds.

        Returns:
            True if an unexpired grant of this epoch covers the key.
        """
        held = self._grants.get(shard)
        if held is None or clock >= held.valid_until:
            return False
        return any(
            position in granted.range and granted.epoch == epoch
            for granted in held.ranges
        )

    def refusal(self, shard: ShardId, clock: float) -> str:
        """Says why a request is not covered.

        Args:
            shard: The shard of the request's key.
            clock: The target's clock, in seconds.

        Returns:
            `grant-lapsed` or `wrong-epoch`.
        """
        held = self._grants.get(shard)
        if held is None or clock >= held.valid_until:
            return "grant-lapsed"
        return "wrong-epoch"

    @property
    def holds_nothing(self) -> bool:
        """Whether no range is held of any shard."""
        return not any(held.ranges for held in self._grants.values())

    def all_lapsed(self, clock: float) -> bool:
        """Tells whether every grant was released or has lapsed.

        Args:
            clock: The target's clock, in seconds.

        Returns:
            True if nothing is held any more.
        """
        return all(
            not held.ranges or clock >= held.valid_until
            for held in self._grants.values()
        )

    def _is_older(self, held: ShardGrant, leader_epoch: int, generation: int) -> bool:
        if not self._checks:
            return False
        if leader_epoch != held.leader_epoch:
            return leader_epoch < held.leader_epoch
        return generation < held.generation

    def _state(self, held: ShardGrant, clock: float) -> GrantReport:
        return GrantReport(clock, self._checks, held.ranges, held.valid_until)


def _without(
    ranges: tuple[GrantedRange, ...], taken: KeyRange
) -> tuple[GrantedRange, ...]:
    left: list[GrantedRange] = []
    for granted in ranges:
        if not granted.range.overlaps(taken):
            left.append(granted)
            continue
        before = KeyRange(granted.range.start, max(granted.range.start, taken.start))
        after = KeyRange(min(granted.range.end, taken.end), granted.range.end)
        left.extend(
            GrantedRange(rest, granted.epoch) for rest in (before, after) if rest.size
        )
    return tuple(left)
