"""Sends only requests that are not in quarantine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.forwarding.attempt_result import AttemptOutcome, AttemptResult
from balsamway.outcome import Completed, MayHaveRun, Reason

if TYPE_CHECKING:
    from balsamway.discovery import TargetEntry
    from balsamway.entry import EntryRequest
    from balsamway.exchange import ConnectionPool
    from balsamway.forwarding.target_transport import TargetTransport
    from balsamway.quarantine.quarantine import Quarantine


class GuardedTransport:
    """Asks the quarantine before each attempt and reports what came of it.

    Implements `TargetTransport`. A request may have become suspect while it
    waited for a target.
    """

    def __init__(self, transport: TargetTransport, quarantine: Quarantine) -> None:
        """Guard a transport.

        Args:
            transport: Sends the attempts.
            quarantine: Decides whether they are sent.
        """
        self._transport = transport
        self._quarantine = quarantine

    async def send(
        self,
        pool: ConnectionPool,
        target: TargetEntry,
        request: EntryRequest,
        timeout_seconds: float,
    ) -> AttemptResult:
        """Send one attempt; see `TargetTransport.send`."""
        refusal = await self._quarantine.admit(request)
        if refusal is not None:
            return AttemptResult(refusal, AttemptOutcome.QUARANTINED)
        result = await self._transport.send(pool, target, request, timeout_seconds)
        match result.verdict:
            case Completed():
                self._quarantine.on_answered(request)
            case MayHaveRun(reason=Reason.CONNECTION_LOST):
                await self._quarantine.on_lost(request, target)
        return result
