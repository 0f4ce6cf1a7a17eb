"""The answers about one kind of request."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.questionnaire._constraints import (
    BodyBytes,
    Name,
    TimeoutMs,
)
from balsamway.configuration.questionnaire.load_priority import LoadPriority


@dataclass(frozen=True, slots=True)
class KindAnswers:
    """The answers about one kind of request."""

    name: Name
    idempotent: bool
    """Whether the request may safely run more than once."""
    timeout_ms: TimeoutMs
    """How long a caller waits for the response."""
    under_load: LoadPriority = LoadPriority.NORMAL
    body_limit_bytes: BodyBytes = 262_144
