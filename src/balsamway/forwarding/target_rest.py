"""The time in which a target wants no requests from this host."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from balsamway.clock import now
from balsamway.forwarding.attempt_result import AttemptOutcome
from balsamway.forwarding.rest_answer import RestAnswer, RestAsked, UnreadableRest

if TYPE_CHECKING:
    import random

MAX_REST_SECONDS = 900.0
"""Bounds the time that a target may ask for, so that a wrong value does not
exclude it for good. It is probed then, with one request at a time."""
REST_MARGIN_SECONDS = 0.01
"""Added to the time that the target asked for, since requests reach it sooner
than its response reached this host."""
PROBE_SECONDS = 0.3
"""How long one request that probes the target keeps others from it."""
EXPECTED_PROBE_SECONDS = 0.1
"""How long a request that probes the target is expected to take at most."""
RETURN_SPREAD_SECONDS = 0.25
"""The span over which callers of one priority return after the rest."""
MAX_RETURN_RANK = 4
"""The least urgent priorities return together, after this many others."""
MAX_LOGGED_CHARACTERS = 40
"""Bounds the logged part of a time that cannot be read, in characters."""
SERVED_OUTCOMES = frozenset({AttemptOutcome.SERVED, AttemptOutcome.FAILED})
"""Outcomes of a probe that show that the target executes requests again."""

logger = logging.getLogger(__name__)


def seconds_until_return(
    rest_seconds: float, priority: int, rng: random.Random
) -> float:
    """Return the Retry-After time of a request whose targets all rest.

    Callers return after the rest, the more urgent ones first, and spread over
    time.

    Args:
        rest_seconds: The seconds until the first target ends its rest.
        priority: The priority of the request's route, 0 for the most urgent.
        rng: Spreads the callers.
    """
    rank = min(priority, MAX_RETURN_RANK)
    return rest_seconds + RETURN_SPREAD_SECONDS * (rank + rng.random())


class TargetRest:
    """Keeps requests from one incarnation of a target while it rests.

    After the rest a single request probes the target. The others follow once
    the target has executed one.
    """

    def __init__(self, target: str) -> None:
        """Start without a rest.

        Args:
            target: The name of the target, for the log.
        """
        self._target = target
        self._until = -math.inf
        self._needs_probe = False
        self._probe_ends_at = -math.inf
        self._unreadable_text: str | None = None

    @property
    def allows_request(self) -> bool:
        """Whether a request may be sent to the target now."""
        return not self._needs_probe or self.remaining_seconds <= 0

    @property
    def remaining_seconds(self) -> float:
        """The expected seconds until a request may be sent; 0 if at once."""
        if now() < self._until:
            return self._until - now()
        if not self._needs_probe:
            return 0.0
        return min(max(0.0, self._probe_ends_at - now()), EXPECTED_PROBE_SECONDS)

    @property
    def is_active(self) -> bool:
        """Whether the target rests or is probed after its rest."""
        return self._needs_probe

    def on_sent(self) -> None:
        """Record that a request is sent to the target."""
        if self._needs_probe:
            self._probe_ends_at = now() + PROBE_SECONDS

    def on_ended(
        self, outcome: AttemptOutcome, answer: RestAnswer | None, sent_at: float
    ) -> None:
        """Apply the end of an attempt at the target.

        An attempt from before the rest does not show that the target executes
        requests again.

        Args:
            outcome: The outcome of the attempt.
            answer: The time that the response asks for, None if it names none.
            sent_at: When the attempt began, in event loop time.
        """
        match answer:
            case RestAsked(seconds=seconds):
                self._begin(seconds)
                return
            case UnreadableRest(text=text):
                self._warn(text)
        if sent_at < self._until:
            return
        self._probe_ends_at = -math.inf
        if outcome in SERVED_OUTCOMES and self._needs_probe:
            self._needs_probe = False
            logger.info("target-rested", extra={"target": self._target})

    def _begin(self, asked_seconds: float) -> None:
        if asked_seconds <= 0:
            return
        seconds = min(asked_seconds, MAX_REST_SECONDS)
        if not self._needs_probe or now() >= self._until:
            logger.info(
                "target-rests",
                extra={
                    "target": self._target,
                    "seconds": seconds,
                    "asked_seconds": asked_seconds,
                },
            )
        self._until = max(self._until, now() + seconds + REST_MARGIN_SECONDS)
        self._needs_probe = True

    def _warn(self, text: str) -> None:
        if text == self._unreadable_text:
            return
        self._unreadable_text = text
        logger.warning(
            "target-rest-unreadable",
            extra={"target": self._target, "text": text[:MAX_LOGGED_CHARACTERS]},
        )
