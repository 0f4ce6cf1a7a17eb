"""Renewal of the grant of one target.

A leader sends a target three orders: a grant, a release, or a survey, which
asks what the target holds.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.targets.orders import (
    GrantedRange,
    GrantOrder,
    OrderLost,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
    TargetState,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamway.ownership.authority import Authority
    from balsamway.ownership.cluster import Cluster
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import KeyRange, SliceEntry
    from balsamway.store import Host
    from balsamway.targets.orders import OrderResult

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_SECONDS = 0.3
"""How long to wait for the answer to an order."""
RETRY_PAUSE_SECONDS = 0.1
"""The longest pause between grants to an unresponsive target."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of a target's clock."""

    clock: float
    """The time by the target's clock, in seconds."""
    received_at: float
    """The event loop time at which the reading was received."""


class GrantKeeper:
    """Renews one target's grant and knows when it has expired for certain.

    A grant expires at a time of the target's own clock: the last reading of
    that clock plus the grant duration. A delay on the way therefore never
    lengthens a grant. The leader counts the expiry from when it received the
    reading.

    Args:
        cluster: This host's identity and interfaces.
        state: The leader's state of the shard.
        authority: The leader's authority.
        target: The target.
        grants_expire_at: The event loop time at which the grants of previous
            leaders expire.
        on_change: Called when the ranges that the target holds change, or
            what is known of whether it enforces fencing tokens.
    """

    def __init__(
        self,
        cluster: Cluster,
        state: ShardState,
        authority: Authority,
        target: Host,
        grants_expire_at: float,
        on_change: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._state = state
        self._authority = authority
        self._on_change = on_change
        self._reading: ClockReading | None = None
        self._generation = 0
        self._lock = asyncio.Lock()
        self._renewal_triggered = asyncio.Event()
        self._unanswered_grant_expires_at = 0.0
        self._unresponsive = False
        self.target = target
        self.grants_expire_at = grants_expire_at
        """The event loop time at which all grants of the target expire."""
        self.confirmed_ranges: frozenset[GrantedRange] = frozenset()
        """The ranges that the target reported to hold in its last answer."""
        self.enforces_epochs: bool | None = None
        """Whether the target enforces fencing tokens; None while unknown."""
        self.is_draining = False

    @property
    def name(self) -> str:
        """The target's name."""
        return self.target.name

    @property
    def answers(self) -> bool:
        """Whether the target answered the last order it was sent."""
        return self._reading is not None and not self._unresponsive

    @property
    def has_expired(self) -> bool:
        """Whether every grant sent to the target has expired."""
        return now() >= self.grants_expire_at

    @property
    def lost(self) -> bool:
        """Whether the target is unresponsive and its grants have expired."""
        return self.has_expired and not self.answers

    @property
    def unanswered_grant_expires_at(self) -> float:
        """The event loop time at which the last unanswered grant expires.

        The grant may still reach the target before that time.
        """
        return self._unanswered_grant_expires_at

    def holds(self, entry: SliceEntry) -> bool:
        """Whether the target reported to hold a slice by its grant epoch.

        Args:
            entry: The slice.

        Returns:
            True if a range that it holds covers the slice and has the same
            grant epoch, and its grants have not expired.
        """
        if self.has_expired:
            return False
        if GrantedRange(entry.range, entry.epoch) in self.confirmed_ranges:
            return True
        return any(
            held.epoch == entry.epoch
            and held.range.start <= entry.range.start
            and entry.range.end <= held.range.end
            for held in self.confirmed_ranges
        )

    def trigger_renewal(self) -> None:
        """Have the grant renewed at once."""
        self._renewal_triggered.set()

    async def run(self) -> None:
        """Renew the grant until the authority has ended."""
        while not self._authority.has_ended:
            async with self._lock:
                await self._renew()
            pause = self._cluster.timing.renewal
            if not self.answers:
                pause = min(pause, RETRY_PAUSE_SECONDS)
            await self._wait_for_trigger(pause)

    async def survey(self) -> TargetState | None:
        """Announce the leader epoch and ask which ranges the target holds.

        Returns:
            The state that the target reported; None if it refused the order
            or did not answer.
        """
        async with self._lock:
            return await self._survey()

    async def release(self, ranges: Iterable[KeyRange]) -> bool:
        """Have the target release ranges.

        The caller has excluded the ranges from the target's grants, so that
        no later grant returns them to it.

        Args:
            ranges: The ranges to release.

        Returns:
            Whether the target confirmed the release.
        """
        async with self._lock:
            if not self._authority.is_valid:
                return False
            order = ReleaseOrder(
                self._state.record.shard,
                self._state.record.leader_epoch,
                tuple(ranges),
                self._next_generation(),
            )
            result = await self._cluster.control.release(
                self.target, order, ORDER_TIMEOUT_SECONDS
            )
            return self._process_result(result) is not None

    async def _wait_for_trigger(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._renewal_triggered.wait(), seconds)
        except TimeoutError:
            return
        self._renewal_triggered.clear()

    async def _renew(self) -> None:
        if not self._is_reading_fresh() and await self._survey() is None:
            return
        reading = self._reading
        if reading is None or not self._authority.is_valid:
            return
        timing = self._cluster.timing
        entries = self._state.grantable_entries(self.name)
        ranges = tuple(GrantedRange(entry.range, entry.epoch) for entry in entries)
        expires_at = (
            reading.received_at + timing.grant * self._cluster.clock_rate_factor
        )
        if ranges:
            self.grants_expire_at = max(self.grants_expire_at, expires_at)
        order = GrantOrder(
            self._state.record.shard,
            self._state.record.leader_epoch,
            ranges,
            reading.clock + timing.grant,
            self._next_generation(),
        )
        result = await self._cluster.control.grant(
            self.target, order, ORDER_TIMEOUT_SECONDS
        )
        if self._process_result(result) is None and ranges:
            self._unanswered_grant_expires_at = max(
                self._unanswered_grant_expires_at, expires_at
            )

    def _is_reading_fresh(self) -> bool:
        if self._reading is None:
            return False
        age = now() - self._reading.received_at
        return age < 2 * self._cluster.timing.renewal

    async def _survey(self) -> TargetState | None:
        if not self._authority.is_valid:
            return None
        record = self._state.record
        order = SurveyOrder(record.shard, record.leader_epoch)
        result = await self._cluster.control.survey(
            self.target, order, ORDER_TIMEOUT_SECONDS
        )
        return self._process_result(result)

    def _next_generation(self) -> int:
        self._generation += 1
        return self._generation

    def _process_result(self, result: OrderResult) -> TargetState | None:
        match result:
            case TargetState():
                self._process_state(result)
                return result
            case OrderRefused(leader_epoch=epoch):
                self._process_refusal(epoch)
            case OrderLost(reason=reason):
                self._process_lost_order(reason)
        return None

    def _process_state(self, answer: TargetState) -> None:
        held = answer.ranges if answer.valid_until > answer.clock else ()
        changed = (
            self.confirmed_ranges != frozenset(held)
            or self.enforces_epochs != answer.checks
        )
        self._reading = ClockReading(answer.clock, now())
        self._unresponsive = False
        self.enforces_epochs = answer.checks
        self.confirmed_ranges = frozenset(held)
        if answer.leaving and not self.is_draining:
            self.is_draining = True
            self._cluster.directory.mark_leaving(self.name)
        if changed:
            self._on_change()

    def _process_refusal(self, epoch: int) -> None:
        if epoch <= self._state.record.leader_epoch:
            return
        logger.info(
            "target knows a higher leader epoch",
            extra={"target": self.name, "epoch": epoch},
        )
        self._authority.end()

    def _process_lost_order(self, reason: str) -> None:
        if not self._unresponsive:
            logger.info(
                "target does not answer",
                extra={"target": self.name, "reason": reason},
            )
        self._unresponsive = True
