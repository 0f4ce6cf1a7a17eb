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

END_DELAY_SECONDS = 0.5
"""How much newer than the last response with a limit one without it must be to
end the limit. Reports of other hosts may arrive late and out of order."""
ENDED_REPORT_SECONDS = 5.0
"""How long hosts tell each other that a limit has ended."""
JUST_CHANGED_SECONDS = 2.0
"""How long a changed limit counts as just changed. Within that time each host
gets two or more reports of the leader."""
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
        self._requests_per_second: float | None = None
        self._changed_at: float | None = None
        self._seen_at = float("-inf")
        self._is_from_response = False
        self._unreported: tuple[float | None, float] | None = None
        """What the last response since the last report showed, and when."""
        self._unreadable_text: str | None = None

    @property
    def requests_per_second(self) -> float | None:
        """The limit, or None if the target names none."""
        return self._requests_per_second

    @property
    def has_just_changed(self) -> bool:
        """Whether the limit changed within the last seconds."""
        return (
            self._changed_at is not None
            and now() - self._changed_at < JUST_CHANGED_SECONDS
        )

    @property
    def is_current(self) -> bool:
        """Whether other hosts need to know the limit, or that it ended."""
        if self._requests_per_second is not None:
            return True
        return (
            self._changed_at is not None
            and now() - self._changed_at < ENDED_REPORT_SECONDS
        )

    @property
    def report(self) -> tuple[float | None, int]:
        """The limit, and how many milliseconds ago it was observed."""
        return self._requests_per_second, _age_ms(self._seen_at)

    def on_response(self, answer: LimitAnswer) -> None:
        """Apply what a response to this host says.

        A limit that cannot be read changes nothing.

        Args:
            answer: What the response says about the limit.
        """
        match answer:
            case NamedLimit(requests_per_second=requests_per_second):
                self._unreported = (requests_per_second, now())
                self._observe(requests_per_second, now(), is_from_response=True)
            case NoLimit():
                if self.is_current:
                    self._unreported = (None, now())
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

    def on_report(self, requests_per_second: float | None, age_ms: int) -> None:
        """Apply the observation of another host.

        Args:
            requests_per_second: The limit, or None if the target named none.
            age_ms: How long ago it was observed, in milliseconds.
        """
        self._observe(
            requests_per_second, now() - age_ms / 1000, is_from_response=False
        )

    def take_report(self) -> tuple[float | None, int] | None:
        """Return what this host's responses showed since the last call.

        Returns:
            The limit, or None if the target named none, and how long ago that
            was, in milliseconds. None if there is nothing to report.
        """
        unreported, self._unreported = self._unreported, None
        if unreported is None:
            return None
        requests_per_second, seen_at = unreported
        return requests_per_second, _age_ms(seen_at)

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
        previous = self._requests_per_second
        if previous is not None and requests_per_second is None:
            if seen_at < self._seen_at + END_DELAY_SECONDS:
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


def _age_ms(seen_at: float) -> int:
    return round(1000 * (now() - seen_at))
