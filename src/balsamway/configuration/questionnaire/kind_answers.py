"""What a workspace answers about one kind of request."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.questionnaire._constraints import (
    BodyBytes,
    Name,
    TimeoutMs,
)
from balsamway.configuration.questionnaire.patience import Patience


@dataclass(frozen=True, slots=True)
class KindAnswers:
    """What a workspace answers about one kind of request."""

    name: Name
    idempotent: bool
    """Whether it does no harm to run the request more than once."""
    timeout_ms: TimeoutMs
    """How long a caller waits for the answer."""
    under_load: Patience = Patience.NORMAL
    body_limit_bytes: BodyBytes = 262_144
