"""The path to any server of a service without exclusive keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.gateway.admission import Admission, StillWaiting
from balsamway.gateway.server_state import ServerState
from balsamway.gateway.service_group import ServiceGroup
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.dispatcher import Dispatcher
    from balsamway.gateway.server_pool import ServerPool
    from balsamway.outcome import Verdict


class SharedPath:
    """The path to any server of a service without exclusive keys."""

    def __init__(
        self, pool: ServerPool, chooser: Chooser, dispatcher: Dispatcher
    ) -> None:
        self._pool = pool
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._admissions: dict[tuple[str, str], Admission] = {}

    async def attempt(self, attempt: Attempt) -> Verdict:
        """Makes one attempt at the best server, one not tried if possible.

        Args:
            attempt: The attempt.

        Returns:
            What became of it.
        """
        request = attempt.request
        admission = self._admission(request)
        state = await self._enter(admission, attempt)
        if not isinstance(state, ServerState):
            return state
        state.admission = admission
        if not attempt.begin(state.name):
            state.leave()
            return NotRun(Reason.OVERLOADED, "no budget for a hedge")
        return await self._dispatcher.send(state, request, request.deadline)

    def dump(self) -> dict[str, object]:
        """Gives how many requests wait for each service."""
        return {
            "/".join(name): admission.waiting
            for name, admission in self._admissions.items()
        }

    async def _enter(
        self, admission: Admission, attempt: Attempt
    ) -> ServerState | NotRun:
        if attempt.is_hedge:
            state = admission.enter_now(attempt)
            return state or NotRun(Reason.NO_SERVER, "no other server has room")
        admitted = await admission.enter(attempt)
        if isinstance(admitted, StillWaiting):
            return NotRun(Reason.DEADLINE_EXCEEDED)
        return admitted

    def _admission(self, request: CallerRequest) -> Admission:
        name = (request.member.member, request.service.name)
        admission = self._admissions.get(name)
        if admission is None:
            group = ServiceGroup(lambda: self._pool.candidates(*name), self._chooser)
            admission = Admission(group)
            self._admissions[name] = admission
        return admission
