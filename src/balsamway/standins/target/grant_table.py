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
    """Keeps the grants of each shard and applies the leader's orders to them.

    An order is a grant, release or survey sent by the leader. A target that
    enforces fencing tokens refuses outdated orders; another target accepts
    every order. All times are of the target's own clock.

    Args:
        enforces_tokens: Whether outdated orders are refused.
        journal: Records the slices that the target holds.
    """

    def __init__(self, enforces_tokens: bool, journal: GrantJournal) -> None:
        self._enforces_tokens = enforces_tokens
        self._journal = journal
        self._grants: dict[ShardId, ShardGrant] = {}

    def grant(self, order: GrantOrder, clock: float) -> GrantReport | OrderRefused:
        """Replace the grant of a shard unless the order is outdated.

        Args:
            order: The grant order.
            clock: The current time of the target's clock, in seconds.

        Returns:
            The report after the grant, or the refusal.
        """
        grant = self._grants.setdefault(order.shard, ShardGrant())
        if self._is_outdated(grant, order.leader_epoch, order.generation):
            return OrderRefused(grant.leader_epoch, clock)
        grant.leader_epoch = order.leader_epoch
        grant.generation = order.generation
        grant.ranges = order.ranges
        grant.valid_until = order.valid_until
        self._journal.update(order.shard, grant, clock)
        return self._build_report(grant, clock)

    def release(self, order: ReleaseOrder, clock: float) -> GrantReport | OrderRefused:
        """Remove slices from a shard's grant unless the order is outdated.

        Requests that run in these slices are not awaited.

        Args:
            order: The release order.
            clock: The current time of the target's clock, in seconds.

        Returns:
            The report after the release, or the refusal.
        """
        grant = self._grants.setdefault(order.shard, ShardGrant())
        if self._is_outdated(grant, order.leader_epoch, order.generation):
            return OrderRefused(grant.leader_epoch, clock)
        grant.leader_epoch = order.leader_epoch
        grant.generation = order.generation
        for released in order.ranges:
            grant.ranges = _subtract(grant.ranges, released)
        self._journal.update(order.shard, grant, clock)
        return self._build_report(grant, clock)

    def survey(self, order: SurveyOrder, clock: float) -> GrantReport | OrderRefused:
        """Report the grant of a shard unless the leader epoch is outdated.

        A newer leader epoch is adopted, so that orders of earlier leaders are
        refused from now on.

        Args:
            order: The survey order.
            clock: The current time of the target's clock, in seconds.

        Returns:
            The report, or the refusal of an outdated leader epoch.
        """
        grant = self._grants.setdefault(order.shard, ShardGrant())
        if self._enforces_tokens and order.leader_epoch < grant.leader_epoch:
            return OrderRefused(grant.leader_epoch, clock)
        if order.leader_epoch > grant.leader_epoch:
            grant.leader_epoch = order.leader_epoch
            grant.generation = -1
        return self._build_report(grant, clock)

    def report(self, shard: ShardId, clock: float) -> GrantReport:
        """Return the report of the grant of a shard.

        Args:
            shard: The shard.
            clock: The current time of the target's clock, in seconds.

        Returns:
            The report; an empty one if the target knows no grant.
        """
        return self._build_report(self._grants.get(shard, ShardGrant()), clock)

    def covers(self, shard: ShardId, position: int, epoch: int, clock: float) -> bool:
        """Return whether a request may run under a grant.

        Args:
            shard: The shard of the request's key.
            position: The hash position of the key.
            epoch: The fencing token of the request.
            clock: The current time of the target's clock, in seconds.

        Returns:
            True if an unexpired grant with this fencing token covers the key.
        """
        grant = self._grants.get(shard)
        if grant is None or clock >= grant.valid_until:
            return False
        return any(
            position in granted.range and granted.epoch == epoch
            for granted in grant.ranges
        )

    def refusal_reason(self, shard: ShardId, clock: float) -> str:
        """Return why a request may not run under a grant.

        Args:
            shard: The shard of the request's key.
            clock: The current time of the target's clock, in seconds.

        Returns:
            `grant-lapsed` if the grant is missing or expired, else
            `wrong-epoch`.
        """
        grant = self._grants.get(shard)
        if grant is None or clock >= grant.valid_until:
            return "grant-lapsed"
        return "wrong-epoch"

    @property
    def holds_nothing(self) -> bool:
        """Whether no shard has granted slices, expired grants included."""
        return not any(grant.ranges for grant in self._grants.values())

    def all_expired(self, clock: float) -> bool:
        """Return whether every grant was released or has expired.

        Args:
            clock: The current time of the target's clock, in seconds.

        Returns:
            True if the target owns no slice any more.
        """
        return all(
            not grant.ranges or clock >= grant.valid_until
            for grant in self._grants.values()
        )

    def _is_outdated(
        self, grant: ShardGrant, leader_epoch: int, generation: int
    ) -> bool:
        if not self._enforces_tokens:
            return False
        if leader_epoch != grant.leader_epoch:
            return leader_epoch < grant.leader_epoch
        return generation < grant.generation

    def _build_report(self, grant: ShardGrant, clock: float) -> GrantReport:
        return GrantReport(
            clock, self._enforces_tokens, grant.ranges, grant.valid_until
        )


def _subtract(
    ranges: tuple[GrantedRange, ...], released: KeyRange
) -> tuple[GrantedRange, ...]:
    remaining: list[GrantedRange] = []
    for granted in ranges:
        if not granted.range.overlaps(released):
            remaining.append(granted)
            continue
        before = KeyRange(granted.range.start, max(granted.range.start, released.start))
        after = KeyRange(min(granted.range.end, released.end), granted.range.end)
        remaining.extend(
            GrantedRange(part, granted.epoch) for part in (before, after) if part.size
        )
    return tuple(remaining)
