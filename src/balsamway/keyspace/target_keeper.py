"""Grants one target its keys, and renews the grants."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.order_result import (
    Accepted,
    OrderLost,
    OrderNotSent,
    TokenOutdated,
    WrongTarget,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.keyspace.control_line import ControlLine
    from balsamway.keyspace.holder import Holder
    from balsamway.keyspace.segment import Segment
    from balsamway.keyspace.service_keys import ServiceKeys
    from balsamway.keyspace.target_control import TargetControl

GRANT_SECONDS = 3.6
"""How long a grant lasts. It outlives the change of leader, which takes the
leader's lease and a claim; after a loss keys wait for it to lapse."""
HOLD_IN_OUTAGE_SECONDS = 9.5
"""How long a grant lasts while the store does not answer, so that the keys
outlast the outage; below the longest time that targets accept."""
RENEW_SECONDS = 0.7
ORDER_SECONDS = 0.7
"""The longest time for an order; a target answers in a few ms."""
RETRY_SECONDS = 0.2
LEAST_WAIT_SECONDS = 0.001
GIVE_UP_SECONDS = 1.0
"""After orders were lost for this long no more are sent, since each would
extend the time after which the keys can go to another target."""

logger = logging.getLogger(__name__)


class TargetKeeper:
    """Sends a target's grants one after another, under the leader's lease."""

    def __init__(
        self,
        keys: ServiceKeys,
        holder: Holder,
        line: ControlLine,
        control: TargetControl,
        may_act: Callable[[], bool],
        in_outage: Callable[[], bool],
    ) -> None:
        """Prepares the keeper of one run of a target.

        Args:
            keys: The keys of the service.
            holder: The run of the target.
            line: The connections to it.
            control: Sends the orders.
            may_act: Whether this host leads at this moment.
            in_outage: Whether the store seems to be away.
        """
        self._keys = keys
        self._holder = holder
        self._line = line
        self._control = control
        self._may_act = may_act
        self._in_outage = in_outage
        self._kicked = asyncio.Event()
        self._failing_since: float | None = None
        self._lost_orders = 0
        """The orders in a row that may have taken effect unanswered."""
        self.has_ended = False
        """Whether another target was found at its address."""

    @property
    def failing_seconds(self) -> float:
        """How long its orders have failed."""
        return 0.0 if self._failing_since is None else now() - self._failing_since

    def kick(self) -> None:
        """Has new grants sent at once."""
        self._kicked.set()

    async def run(self) -> None:
        """Sends grants until cancelled."""
        renew_at = now()
        was_outage = False
        while not self.has_ended:
            is_outage = self._in_outage()
            is_renewal = now() >= renew_at or (is_outage and not was_outage)
            was_outage = is_outage
            if is_renewal:
                renew_at = now() + RENEW_SECONDS
            answered = await self._send_all(is_renewal)
            wait = renew_at - now() if answered else RETRY_SECONDS
            try:
                async with asyncio.timeout(max(LEAST_WAIT_SECONDS, wait)):
                    await self._kicked.wait()
            except TimeoutError:
                pass
            self._kicked.clear()

    async def _send_all(self, is_renewal: bool) -> bool:
        if self._line.was_broken():
            self._ask_for_tokens("a connection broke")
        if self._lost_orders > 1 and self.failing_seconds > GIVE_UP_SECONDS:
            return True
        for segment in self._keys.segments_of(self._holder):
            if not is_renewal and self._keys.is_confirmed(segment):
                continue
            if not self._may_send(segment):
                return True
            if not await self._grant(segment):
                return False
        return True

    def _may_send(self, segment: Segment) -> bool:
        return (
            self._holder not in self._keys.renew_tokens_of
            and segment in self._keys.record.segments
            and self._may_act()
        )

    async def _grant(self, segment: Segment) -> bool:
        hold = HOLD_IN_OUTAGE_SECONDS if self._in_outage() else GRANT_SECONDS
        bound = self._keys.bound(self._holder)
        number = bound.begin(hold, ORDER_SECONDS)
        handover = None
        if not self._keys.is_confirmed(segment):
            handover = self._keys.handover(segment)
        result: object = None
        try:
            result = await self._control.grant(
                self._line.pool,
                self._holder.name,
                segment.keys,
                segment.token,
                hold,
                handover,
                ORDER_SECONDS,
                lambda: self._may_send(segment),
            )
        finally:
            if isinstance(result, OrderNotSent | TokenOutdated | WrongTarget):
                bound.forget(number)
            else:
                bound.settle(number, hold)
        match result:
            case Accepted():
                self._on_accepted(segment)
                return True
            case TokenOutdated():
                self._ask_for_tokens("a higher token was seen")
                return True
            case WrongTarget(name=name):
                logger.info(
                    "target-replaced",
                    extra={"target": self._holder.name, "found": name},
                )
                self.has_ended = True
                return False
            case OrderLost(reason=reason):
                self._lost_orders += 1
                self._ask_for_tokens(reason)
                self._on_failed(reason)
                return False
            case OrderNotSent(reason=reason):
                self._on_failed(reason)
        return False

    def _on_accepted(self, segment: Segment) -> None:
        self._lost_orders = 0
        if self._failing_since is not None:
            logger.info(
                "target-regained",
                extra={
                    "target": self._holder.name,
                    "seconds": round(self.failing_seconds, 3),
                },
            )
            self._failing_since = None
        self._keys.on_confirmed(segment)

    def _on_failed(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = now()
            logger.warning(
                "target-unanswering",
                extra={"target": self._holder.name, "reason": reason[:200]},
            )

    def _ask_for_tokens(self, reason: str) -> None:
        if self._holder in self._keys.renew_tokens_of:
            return
        if not self._keys.segments_of(self._holder):
            return
        self._keys.renew_tokens_of.add(self._holder)
        logger.info(
            "tokens-outdated", extra={"target": self._holder.name, "reason": reason}
        )
