"""The limit of one target, as this entry host knows it."""

from __future__ import annotations

import logging

from balsamway.clock import now
from balsamway.limits.limit_answer import (
    LimitAnswer,
    NamedLimit,
    NoLimit,
    UnreadableLimit,
)

LIFT_DELAY_SECONDS = 0.5
"""How much newer than the last response with a limit one without it must be to
end the limit. Reports of other hosts may arrive late and out of order."""
MAX_LOGGED_CHARACTERS = 40
"""Bounds the logged part of a limit that cannot be read, in characters."""

logger = logging.getLogger(__name__)


class TargetLimit:
    """The requests per second that a target accepts from all hosts together.

    Responses to this host and reports of other hosts are observations of the
    limit, and the newest one counts.
    """

    def __init__(self, target: str) -> None:
        """Start without a limit.

        Args:
            target: The name of the target, for the log.
        """
        self._target = target
        self._created_at = now()
        self._requests_per_second: float | None = None
        self._changed_at: float | None = None
        self._seen_at = self._created_at
        self._is_from_response = False
        self._unreadable_text: str | None = None

    @property
    def requests_per_second(self) -> float | None:
        """The limit, or None if the target names none."""
        return self._requests_per_second

    @property
    def changed_at(self) -> float | None:
        """When the limit last changed, in event loop time; None if never."""
        return self._changed_at

    @property
    def seen_at(self) -> float:
        """When the newest observation was made, in event loop time."""
        return self._seen_at

    def on_response(self, answer: LimitAnswer) -> None:
        """Apply what a response to this host says.

        A limit that cannot be read changes nothing.

        Args:
            answer: What the response says about the limit.
        """
        match answer:
            case NamedLimit(requests_per_second=requests_per_second):
                self._observe(requests_per_second, now(), is_from_response=True)
            case NoLimit():
                self._observe(None, now(), is_from_response=True)
            case UnreadableLimit(text=text):
                if text != self._unreadable_text:
                    self._unreadable_text = text
                    logger.warning(
                        "target-limit-unreadable",
                        extra={
                            "target": self._target,
                            "text": text[:MAX_LOGGED_CHARACTERS],
                            "limit": self._requests_per_second,
                        },
                    )

    def on_report(self, requests_per_second: float | None, age_seconds: float) -> None:
        """Apply the observation of another host.

        Args:
            requests_per_second: The limit, or None if the target named none.
            age_seconds: How long ago it was observed, in seconds.
        """
        self._observe(requests_per_second, now() - age_seconds, is_from_response=False)

    def dump(self) -> dict[str, object]:
        """Return the limit for the state dump."""
        return {
            "requests_per_second": self._requests_per_second,
            "changed_seconds_ago": (
                None if self._changed_at is None else round(now() - self._changed_at, 3)
            ),
            "seen_seconds_ago": round(now() - self._seen_at, 3),
            "source": "response" if self._is_from_response else "report",
        }

    def _observe(
        self, requests_per_second: float | None, seen_at: float, is_from_response: bool
    ) -> None:
        if seen_at < self._created_at:
            # It was made of an earlier incarnation of the target.
            return
        previous = self._requests_per_second
        if previous is not None and requests_per_second is None:
            if seen_at < self._seen_at + LIFT_DELAY_SECONDS:
                return
        elif seen_at < self._seen_at:
            return
        self._seen_at = seen_at
        self._is_from_response = is_from_response
        if requests_per_second == previous:
            return
        self._requests_per_second = requests_per_second
        self._changed_at = now()
        logger.info(
            "target-limit-changed",
            extra={
                "target": self._target,
                "limit": requests_per_second,
                "previous": previous,
                "source": "response" if is_from_response else "report",
            },
        )
