"""Takes keys back from the target that held them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.keyspace.order_result import Released, WrongTarget

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.keyspace.control_line import ControlLine
    from balsamway.keyspace.service_keys import ServiceKeys, Vacating
    from balsamway.keyspace.target_control import TargetControl

RETRY_SECONDS = 0.2
LEAST_WAIT_SECONDS = 0.001
RELEASE_SECONDS = 2.0
"""How long one call waits for running work to end before it is repeated."""


async def vacate(
    keys: ServiceKeys,
    one: Vacating,
    line: ControlLine | None,
    control: TargetControl,
    may_act: Callable[[], bool],
    has_started_again: Callable[[], bool],
    on_done: Callable[[], None],
) -> None:
    """Waits until a previous holder certainly holds a segment's keys no more.

    An answered release shows it, and so does the end of that run of the
    target, or the end of the time for which it was granted. A connection that
    is refused shows nothing, since a partition may refuse too.

    Args:
        keys: The keys of the service.
        one: The segment and the previous holder.
        line: The connections to the holder; None if its address is not known.
        control: Sends the orders.
        may_act: Whether this host leads at this moment.
        has_started_again: Whether another run of the target is known.
        on_done: Called when the keys are free, or later than expected.
    """
    while True:
        how = ""
        handover: str | None = None
        if has_started_again():
            how = "started again"
        elif now() >= one.until:
            how = "lapsed"
        elif line is None:
            one.is_unanswered = True
        elif may_act():
            result = await control.release(
                line.pool,
                one.previous.holder.name,
                one.segment.keys,
                one.previous.release_token,
                max(0.1, min(RELEASE_SECONDS, one.until - now())),
            )
            match result:
                case Released(handover=found):
                    how, handover = "released", found
                case WrongTarget():
                    how = "replaced"
                case _:
                    if not one.is_unanswered:
                        one.is_unanswered = True
                        on_done()
        if how:
            keys.on_vacated(one, how, handover)
            on_done()
            return
        left = min(RETRY_SECONDS, one.until - now())
        await asyncio.sleep(max(LEAST_WAIT_SECONDS, left))
