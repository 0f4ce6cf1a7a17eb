"""Revokes the keys of a segment from a previous owner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.order_result import Released, WrongTarget

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.keyspace.control_connections import ControlConnections
    from balsamway.keyspace.service_keys import PendingRelease, ServiceKeys
    from balsamway.keyspace.target_control import TargetControl

RETRY_DELAY_SECONDS = 0.2
"""The delay before a release is sent again."""
MIN_WAIT_SECONDS = 0.001
"""The least delay, also when the grant is about to expire."""
RELEASE_TIMEOUT_SECONDS = 2.0
"""How long one release waits for running requests to end. It is then sent
again."""


async def release_keys(
    keys: ServiceKeys,
    pending: PendingRelease,
    find_connections: Callable[[], ControlConnections | None],
    control: TargetControl,
    is_leader: Callable[[], bool],
    on_done: Callable[[], None],
) -> None:
    """Wait until a previous owner certainly owns none of a segment's keys.

    That is certain when the target has responded to a release, when another
    target has its address, or when its grants have expired. A refused
    connection proves nothing, since a partition may refuse connections too.
    Neither does a later incarnation, which may have accepted grants before its
    entry was known. It has to release the keys as well.

    Args:
        keys: The keys of the service.
        pending: The segment and its previous owner.
        find_connections: Returns the connections to the previous owner or its
            later incarnation, or None if its address is unknown.
        control: Sends the orders.
        is_leader: Tells whether this host leads at this moment.
        on_done: Called when the keys are released, or when the release takes
            longer than expected.
    """
    while True:
        how = ""
        handover: str | None = None
        if now() >= pending.expires_at:
            how = "lapsed"
        elif (connections := find_connections()) is None:
            pending.is_unresponsive = True
        elif is_leader():
            result = await control.release(
                connections.pool,
                pending.previous.owner.name,
                pending.segment.keys,
                pending.previous.release_token,
                max(0.1, min(RELEASE_TIMEOUT_SECONDS, pending.expires_at - now())),
            )
            match result:
                case Released(handover=found):
                    how, handover = "released", found
                case WrongTarget():
                    how = "replaced"
                case _:
                    if not pending.is_unresponsive:
                        pending.is_unresponsive = True
                        on_done()
        if how:
            keys.on_released(pending, how, handover)
            on_done()
            return
        remaining_seconds = min(RETRY_DELAY_SECONDS, pending.expires_at - now())
        await asyncio.sleep(max(MIN_WAIT_SECONDS, remaining_seconds))
