"""Sends the grants of one target and renews them."""

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

    from balsamway.keyspace.control_connections import ControlConnections
    from balsamway.keyspace.segment import Segment
    from balsamway.keyspace.service_keys import ServiceKeys
    from balsamway.keyspace.target_control import TargetControl
    from balsamway.keyspace.target_incarnation import TargetIncarnation

GRANT_SECONDS = 3.6
"""The grant duration. It is longer than a change of leader takes, which is the
leader's lease plus a claim. After the loss of a target, its keys stay without
an owner until the grants have expired."""
GRANT_IN_OUTAGE_SECONDS = 9.5
"""The grant duration while the store is unavailable, so that owners keep their
keys through an outage. It is below the longest duration that targets
accept."""
RENEWAL_INTERVAL_SECONDS = 0.7
"""The time between two renewals of the same grants."""
ORDER_TIMEOUT_SECONDS = 0.7
"""The longest time to wait for the response to an order. A target responds
within a few ms."""
RETRY_DELAY_SECONDS = 0.2
"""The delay before grants are sent again after a failed order."""
MIN_WAIT_SECONDS = 0.001
"""The least time to wait between two rounds, even if a renewal is overdue."""
MAX_LOST_ORDER_SECONDS = 1.0
"""How long orders may go unanswered before no more are sent. Each further
order would extend the time until the keys can move to another target."""

logger = logging.getLogger(__name__)


class GrantRenewer:
    """Sends the grants of one target, one at a time, while this host leads.

    A grant without a response may still have been accepted. The target then
    gets new fencing tokens before it is sent more grants.
    """

    def __init__(
        self,
        keys: ServiceKeys,
        owner: TargetIncarnation,
        connections: ControlConnections,
        control: TargetControl,
        is_leader: Callable[[], bool],
        is_store_unavailable: Callable[[], bool],
    ) -> None:
        """Create the renewer for one incarnation of a target.

        Args:
            keys: The keys of the service.
            owner: The target's incarnation.
            connections: The connections to the target.
            control: Sends the orders.
            is_leader: Tells whether this host leads at this moment.
            is_store_unavailable: Tells whether the store seems unavailable.
        """
        self._keys = keys
        self._owner = owner
        self._connections = connections
        self._control = control
        self._is_leader = is_leader
        self._is_store_unavailable = is_store_unavailable
        self._woken = asyncio.Event()
        self._failing_since: float | None = None
        self._lost_order_count = 0
        """How many orders in a row got no response but may have had effect."""
        self.is_replaced = False
        """Whether another target was found at the target's address."""

    @property
    def failing_seconds(self) -> float:
        """How long orders to the target have been failing, in seconds."""
        return 0.0 if self._failing_since is None else now() - self._failing_since

    def wake(self) -> None:
        """Send new grants at once instead of at the next renewal."""
        self._woken.set()

    async def run(self) -> None:
        """Send and renew grants until cancelled or until the target ended."""
        renew_at = now()
        was_unavailable = False
        while not self.is_replaced:
            is_unavailable = self._is_store_unavailable()
            is_renewal = now() >= renew_at or (is_unavailable and not was_unavailable)
            was_unavailable = is_unavailable
            if is_renewal:
                renew_at = now() + RENEWAL_INTERVAL_SECONDS
            all_sent = await self._send_grants(is_renewal)
            wait = renew_at - now() if all_sent else RETRY_DELAY_SECONDS
            try:
                async with asyncio.timeout(max(MIN_WAIT_SECONDS, wait)):
                    await self._woken.wait()
            except TimeoutError:
                pass
            self._woken.clear()

    async def _send_grants(self, is_renewal: bool) -> bool:
        """Send the grants that are due.

        Args:
            is_renewal: Whether to renew accepted grants as well.

        Returns:
            False if an order failed and must be retried soon.
        """
        if self._connections.has_lost_connection():
            self._request_new_tokens("a connection was lost")
        if self._lost_order_count > 1 and self.failing_seconds > MAX_LOST_ORDER_SECONDS:
            return True
        for segment in self._keys.segments_of(self._owner):
            if not is_renewal and self._keys.is_accepted(segment):
                continue
            if not self._may_send(segment):
                return True
            if not await self._grant(segment):
                return False
        return True

    def _may_send(self, segment: Segment) -> bool:
        return (
            self._owner not in self._keys.owners_needing_tokens
            and self._keys.is_in_force(segment)
            and self._is_leader()
        )

    async def _grant(self, segment: Segment) -> bool:
        """Send one grant.

        Returns:
            False if the order failed and must be retried soon.
        """
        grant_seconds = (
            GRANT_IN_OUTAGE_SECONDS if self._is_store_unavailable() else GRANT_SECONDS
        )
        grant_expiry = self._keys.grant_expiry(self._owner)
        order_id = grant_expiry.add_pending(grant_seconds, ORDER_TIMEOUT_SECONDS)
        handover = None
        if not self._keys.is_accepted(segment):
            handover = self._keys.handover(segment)
        result: object = None
        try:
            result = await self._control.grant(
                self._connections.pool,
                self._owner.name,
                segment.keys,
                segment.token,
                grant_seconds,
                handover,
                ORDER_TIMEOUT_SECONDS,
                lambda: self._may_send(segment),
            )
        finally:
            if isinstance(result, OrderNotSent | TokenOutdated | WrongTarget):
                grant_expiry.discard_pending(order_id)
            else:
                grant_expiry.settle_pending(order_id, grant_seconds)
        match result:
            case Accepted():
                self._on_accepted(segment)
                return True
            case TokenOutdated():
                self._request_new_tokens("the target has seen a higher token")
                return True
            case WrongTarget(name=name):
                logger.info(
                    "target-replaced",
                    extra={"target": self._owner.name, "found": name},
                )
                self.is_replaced = True
                return False
            case OrderLost(reason=reason):
                self._lost_order_count += 1
                self._request_new_tokens(reason)
                self._on_failed(reason)
                return False
            case OrderNotSent(reason=reason):
                self._on_failed(reason)
        return False

    def _on_accepted(self, segment: Segment) -> None:
        self._lost_order_count = 0
        if self._failing_since is not None:
            logger.info(
                "target-regained",
                extra={
                    "target": self._owner.name,
                    "seconds": round(self.failing_seconds, 3),
                },
            )
            self._failing_since = None
        self._keys.on_accepted(segment)

    def _on_failed(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = now()
            logger.warning(
                "target-unanswering",
                extra={"target": self._owner.name, "reason": reason[:200]},
            )

    def _request_new_tokens(self, reason: str) -> None:
        if self._owner in self._keys.owners_needing_tokens:
            return
        if not self._keys.segments_of(self._owner):
            return
        self._keys.owners_needing_tokens.add(self._owner)
        logger.info(
            "tokens-outdated", extra={"target": self._owner.name, "reason": reason}
        )
