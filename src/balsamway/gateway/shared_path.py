"""Dispatch attempts to any target of a service without exclusive keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.gateway.admission import Admission, NotYetAdmitted
from balsamway.gateway.service_group import ServiceGroup
from balsamway.gateway.target_state import TargetState
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    from balsamway.gateway.attempt import Attempt
    from balsamway.gateway.caller_request import CallerRequest
    from balsamway.gateway.chooser import Chooser
    from balsamway.gateway.dispatcher import Dispatcher
    from balsamway.gateway.target_pool import TargetPool
    from balsamway.outcome import Verdict


class SharedPath:
    """Dispatch attempts to any target of a service without exclusive keys."""

    def __init__(
        self, pool: TargetPool, chooser: Chooser, dispatcher: Dispatcher
    ) -> None:
        self._pool = pool
        self._chooser = chooser
        self._dispatcher = dispatcher
        self._admissions: dict[tuple[str, str], Admission] = {}

    async def attempt(self, attempt: Attempt) -> Verdict:
        """Make one attempt at the target that the service's group selects.

        Args:
            attempt: The attempt.

        Returns:
            The verdict on the attempt.
        """
        request = attempt.request
        admission = self._admission(request)
        state = await self._admit(admission, attempt)
        if not isinstance(state, TargetState):
            return state
        state.admission = admission
        if not attempt.begin(state.name):
            state.release()
            return NotRun(Reason.OVERLOADED, "no budget for a hedge")
        return await self._dispatcher.send(state, request, request.deadline)

    def dump(self) -> dict[str, object]:
        """Return the number of requests that wait for each service."""
        return {
            "/".join(name): admission.waiting
            for name, admission in self._admissions.items()
        }

    async def _admit(
        self, admission: Admission, attempt: Attempt
    ) -> TargetState | NotRun:
        if attempt.is_hedge:
            state = admission.try_acquire(attempt)
            return state or NotRun(Reason.NO_TARGET, "no other target has room")
        admitted = await admission.acquire(attempt)
        if isinstance(admitted, NotYetAdmitted):
            return NotRun(Reason.DEADLINE_EXCEEDED)
        return admitted

    def _admission(self, request: CallerRequest) -> Admission:
        name = (request.workspace.workspace, request.service.name)
        admission = self._admissions.get(name)
        if admission is None:
            group = ServiceGroup(lambda: self._pool.candidates(*name), self._chooser)
            admission = Admission(group)
            self._admissions[name] = admission
        return admission
