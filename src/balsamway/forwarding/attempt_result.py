"""The result of one attempt at one target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.forwarding.rest_answer import RestAnswer
    from balsamway.limits import LimitAnswer
    from balsamway.occupancy import LoadAnswer
    from balsamway.outcome import Verdict


class AttemptOutcome(Enum):
    """What one attempt showed about its target.

    The values are written to logs and used as metric labels.
    """

    SERVED = "served"
    """The target responded without a failure."""
    FAILED = "failed"
    """The target responded, but reported a failure of its own."""
    SHED = "shed"
    """The target refused the request for lack of capacity."""
    KEY_NOT_HELD = "key-not-held"
    """The target refused the request because it does not own its key."""
    WRONG_TARGET = "other-target"
    """Another target now listens on the address."""
    UNREACHABLE = "unreachable"
    """No connection could be opened."""
    CONNECTION_REFUSED = "connection-refused"
    """The target reset a new connection before anything was written, because
    it has too many."""
    STALE_CONNECTION = "stale-connection"
    """An idle connection had been closed before anything was written."""
    WITHHELD = "withheld"
    """The zone of the target was evacuated while the attempt waited for a
    connection, before anything was written."""
    CONNECTION_LOST = "broken"
    """The exchange ended before the response was complete."""
    TIMED_OUT = "late"
    """No response arrived within the timeout."""
    BODY_BROKEN = "body-broken"
    """The caller did not send its whole body. This shows nothing of the
    target."""
    QUARANTINED = "quarantined"
    """The request was not sent, because targets had ended under it."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The verdict on an attempt, and what the attempt showed of the target."""

    verdict: Verdict
    outcome: AttemptOutcome
    limit: LimitAnswer | None = None
    """What the response says about the target's limit; None if nothing."""
    is_leaving: bool = False
    """Whether the response says that the target is leaving."""
    rest: RestAnswer | None = None
    """The rest that a refusal asks for; None if the response asks for none."""
    load: LoadAnswer | None = None
    """The load that the response reports; None if it reports none."""
