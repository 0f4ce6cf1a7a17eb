"""The path to any server of a service without exclusive keys."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.admission import StillWaiting
from balsamway.gateway.ejection import usable
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.dispatcher import Dispatcher
    from balsamway.gateway.server_pool import ServerPool
    from balsamway.gateway.server_state import ServerState
    from balsamway.outcome import Verdict

RECHOOSE_SECONDS = 0.1
"""How long a request waits for one server before the choice is made anew."""


class SharedPath:
    """The path to any server of a service without exclusive keys."""

    def __init__(
        self, pool: ServerPool, chooser: Chooser, dispatcher: Dispatcher
    ) -> None:
        self._pool = pool
        self._chooser = chooser
        self._dispatcher = dispatcher

    async def attempt(self, attempt: Attempt) -> Verdict:
        """Makes one attempt at the best server, one not tried if possible.

        Args:
            attempt: The attempt.

        Returns:
            What became of it.
        """
        request = attempt.request
        while True:
            state = self._choose(attempt)
            if state is None:
                return NotRun(Reason.NO_SERVER, retry_after_seconds=1.0)
            until = asyncio.get_running_loop().time() + RECHOOSE_SECONDS
            admitted = await state.admission.enter(
                request.kind.urgency, request.deadline, until
            )
            match admitted:
                case NotRun():
                    return admitted
                case StillWaiting():
                    continue
            if not attempt.begin(state.name):
                state.admission.leave()
                return NotRun(Reason.OVERLOADED, "no budget for a hedge")
            return await self._dispatcher.send(state, request, request.deadline)

    def _choose(self, attempt: Attempt) -> ServerState | None:
        request = attempt.request
        states = self._pool.candidates(request.member.member, request.service)
        states = usable(states)
        untried = [state for state in states if not attempt.was_tried(state.name)]
        if attempt.is_hedge:
            states = [state for state in untried if state.admission.has_room]
        elif untried:
            states = untried
        if not states:
            return None
        return self._chooser.choose(states)
