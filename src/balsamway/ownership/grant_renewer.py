"""Renews the grant of one target."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.targets.orders import (
    GrantedRange,
    GrantOrder,
    GrantReport,
    OrderLost,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from balsamway.ownership.authority import Authority
    from balsamway.ownership.host_context import HostContext
    from balsamway.ownership.shard_state import ShardState
    from balsamway.slices import KeyRange, SliceEntry
    from balsamway.store import Host
    from balsamway.targets.orders import OrderResult

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_SECONDS = 0.3
RETRY_PAUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Reading:
    """A target's clock, and when its reading was received."""

    clock: float
    received_at: float


class GrantRenewer:
    """Keeps one target's grant alive, and knows when it has surely lapsed.

    A grant ends at a time of the target's own clock: the last reading of it
    plus the grant's duration, so that no delay on the way lengthens it. The
    lapse counts from when that reading was received.

    Args:
        host_context: This host and its surroundings.
        state: The leader's memory.
        authority: The leader's authority.
        target: The target.
        held_until: Until when grants of earlier leaders may run.
        on_change: Called when what the target holds has changed.
    """

    def __init__(
        self,
        host_context: HostContext,
        state: ShardState,
        authority: Authority,
        target: Host,
        held_until: float,
        on_change: Callable[[], None],
    ) -> None:
        self._host_context = host_context
        self._state = state
        self._authority = authority
        self._on_change = on_change
        self._reading: Reading | None = None
        self._generation = 0
        self._lock = asyncio.Lock()
        self._kicked = asyncio.Event()
        self._stray_until = 0.0
        self._silent = False
        self.target = target
        self.held_until = held_until
        """When every grant that the target was sent has lapsed."""
        self.confirmed: frozenset[GrantedRange] = frozenset()
        """The ranges that the target last said it holds."""
        self.checks: bool | None = None
        """Whether the target refuses older epochs; None while unknown."""
        self.leaving = False

    @property
    def name(self) -> str:
        """The target's name."""
        return self.target.name

    @property
    def answers(self) -> bool:
        """Whether the target answered the last order it was sent."""
        return self._reading is not None and not self._silent

    @property
    def lapsed(self) -> bool:
        """Whether nothing that the target was granted can still run."""
        return now() >= self.held_until

    @property
    def lost(self) -> bool:
        """Whether the target is silent and its grant has lapsed."""
        return self.lapsed and not self.answers

    @property
    def stray_until(self) -> float:
        """Until when an order that was not answered may grant anything."""
        return self._stray_until

    def holds(self, entry: SliceEntry) -> bool:
        """Tells whether the target said that it holds a slice by its epoch.

        Args:
            entry: The slice.

        Returns:
            True if a range it holds covers the slice, with the same epoch.
        """
        if self.lapsed:
            return False
        if GrantedRange(entry.range, entry.epoch) in self.confirmed:
            return True
        return any(
            one.epoch == entry.epoch
            and one.range.start <= entry.range.start
            and entry.range.end <= one.range.end
            for one in self.confirmed
        )

    def kick(self) -> None:
        """Lets the next order be sent at once."""
        self._kicked.set()

    async def keep(self) -> None:
        """Renews the grant until authority has lapsed."""
        while not self._authority.ended:
            async with self._lock:
                await self._renew()
            pause = self._host_context.timing.renewal
            if not self.answers:
                pause = min(pause, RETRY_PAUSE_SECONDS)
            await self._pause(pause)

    async def survey(self) -> GrantReport | None:
        """Announces the leader's epoch and asks what the target holds.

        Returns:
            What the target answered; None where it did not accept or answer.
        """
        async with self._lock:
            return await self._survey()

    async def release(self, ranges: Iterable[KeyRange]) -> bool:
        """Takes ranges from the target; they are withheld from its grants.

        Args:
            ranges: The ranges, not granted to it again.

        Returns:
            Whether the target answered that it holds them no more.
        """
        async with self._lock:
            if not self._authority.holds:
                return False
            order = ReleaseOrder(
                self._state.record.shard,
                self._state.record.leader_epoch,
                tuple(ranges),
                self._next_generation(),
            )
            result = await self._host_context.control.release(
                self.target, order, ORDER_TIMEOUT_SECONDS
            )
            return self._note(result) is not None

    async def _pause(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._kicked.wait(), seconds)
        except TimeoutError:
            return
        self._kicked.clear()

    async def _renew(self) -> None:
        if not self._reading_is_fresh() and await self._survey() is None:
            return
        reading = self._reading
        if reading is None or not self._authority.holds:
            return
        timing = self._host_context.timing
        entries = self._state.grantable(self.name)
        ranges = tuple(GrantedRange(one.range, one.epoch) for one in entries)
        lapse = reading.received_at + timing.grant * self._host_context.allowance
        if ranges:
            self.held_until = max(self.held_until, lapse)
        order = GrantOrder(
            self._state.record.shard,
            self._state.record.leader_epoch,
            ranges,
            reading.clock + timing.grant,
            self._next_generation(),
        )
        result = await self._host_context.control.grant(
            self.target, order, ORDER_TIMEOUT_SECONDS
        )
        if self._note(result) is None and ranges:
            self._stray_until = max(self._stray_until, lapse)

    def _reading_is_fresh(self) -> bool:
        if self._reading is None:
            return False
        age = now() - self._reading.received_at
        return age < 2 * self._host_context.timing.renewal

    async def _survey(self) -> GrantReport | None:
        if not self._authority.holds:
            return None
        record = self._state.record
        order = SurveyOrder(record.shard, record.leader_epoch)
        result = await self._host_context.control.survey(
            self.target, order, ORDER_TIMEOUT_SECONDS
        )
        return self._note(result)

    def _next_generation(self) -> int:
        self._generation += 1
        return self._generation

    def _note(self, result: OrderResult) -> GrantReport | None:
        match result:
            case GrantReport():
                self._note_state(result)
                return result
            case OrderRefused(leader_epoch=epoch):
                self._note_refusal(epoch)
            case OrderLost(reason=reason):
                self._note_silence(reason)
        return None

    def _note_state(self, answer: GrantReport) -> None:
        held = answer.ranges if answer.valid_until > answer.clock else ()
        changed = self.confirmed != frozenset(held) or self.checks != answer.checks
        self._reading = Reading(answer.clock, now())
        self._silent = False
        self.checks = answer.checks
        self.confirmed = frozenset(held)
        if answer.leaving and not self.leaving:
            self.leaving = True
            self._host_context.directory.mark_leaving(self.name)
        if changed:
            self._on_change()

    def _note_refusal(self, epoch: int) -> None:
        if epoch <= self._state.record.leader_epoch:
            return
        logger.info(
            "target knows a higher leader epoch",
            extra={"target": self.name, "epoch": epoch},
        )
        self._authority.end()

    def _note_silence(self, reason: str) -> None:
        if not self._silent:
            logger.info(
                "target does not answer",
                extra={"target": self.name, "reason": reason},
            )
        self._silent = True
