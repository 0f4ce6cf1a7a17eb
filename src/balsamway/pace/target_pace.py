"""The pace of one target, from how it answers all hosts together."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.pace.interval import Interval

START_FRACTION = 0.25
"""The first pace, as a fraction of what the target usually serves."""
MIN_FRACTION = 0.05
"""The lowest pace, as the same fraction. It shows when the target serves."""
RISE_PER_SECOND = 2.7
"""The factor by which the pace rises in one second of good responses."""
MAX_RISE = 2.0
"""The largest rise at once, also after a long interval."""
FALL_FACTOR = 0.6
"""The factor by which the pace falls at an interval with trouble."""
HOLD_SECONDS = 0.5
"""How long the pace does not rise after it fell. Requests that were sent at
the earlier pace end meanwhile."""
SLOW_FACTOR = 1.8
"""A mean response time above this multiple of the usual one is slow."""
SLOW_SECONDS = 0.6
"""How long a target must be slow before the pace falls. Short noise, 3 times
for 400 ms, is no trouble of the target."""
FAILURE_FRACTION = 0.1
"""The fraction of failed and refused requests above which the pace falls."""
USUAL_SECONDS = 2.0
"""How long a target must keep its usual at the full pace until the pace
ends."""
RELAPSE_SECONDS = 5.0
"""How long after its end refusals and failures begin the pace again. More may
be asked of a target than it serves."""
IDLE_SECONDS = 4.0
"""How long a target must get no answerable request until its pace ends. The
lowest pace is 5 % of the full one, at which 4 s without any are improbable if
there is demand."""
ADAPT_WEIGHT = 0.1
"""The weight of an interval in the usual response time. An interval has few
responses, and single ones differ by a factor of two and more."""
ADAPT_FRACTION = 0.5
"""A target that is slow at a pace below this fraction of the full one has
become slower, rather than overloaded."""


class TargetPace:
    """Decides how many requests a second all hosts may send to a target.

    Without a pace it only tracks the usual response time. The pace rises while
    responses are good, falls at refusals, failures and slowness, and ends when
    the target has kept its usual time for a while.
    """

    def __init__(self, capacity: int, usual_seconds: float) -> None:
        """Start without a pace.

        Args:
            capacity: How many requests the target executes at a time.
            usual_seconds: The usual response time.
        """
        self._capacity = max(1, capacity)
        self._usual_seconds = usual_seconds
        self._requests_per_second: float | None = None
        self._observed_at = 0.0
        self._fell_at = float("-inf")
        self._ended_at = float("-inf")
        self._slow_since: float | None = None
        self._usual_since: float | None = None

    @property
    def requests_per_second(self) -> float | None:
        """The pace, or None if the target has none."""
        return self._requests_per_second

    @property
    def usual_seconds(self) -> float:
        """The usual response time."""
        return self._usual_seconds

    @property
    def full_rate(self) -> float:
        """The requests a second that the target usually serves."""
        return self._capacity / self._usual_seconds

    def begin(self, time: float, requests_per_second: float | None = None) -> None:
        """Begin a pace, or lower it to the first one.

        Args:
            time: The current time.
            requests_per_second: The pace of an earlier leader, if it is known.
        """
        first = START_FRACTION * self.full_rate
        if requests_per_second is not None:
            first = requests_per_second
        if self._requests_per_second is None:
            self._requests_per_second = first
        self._observed_at = time
        self._requests_per_second = min(first, self._requests_per_second)
        self._usual_since = self._slow_since = None

    def observe(self, interval: Interval, time: float) -> None:
        """Apply what all hosts saw since the last call.

        Args:
            interval: The ends of their attempts.
            time: The current time.
        """
        if interval.is_away:
            self.begin(time)
            return
        trouble = interval.refused + interval.failed
        total = trouble + interval.answered
        if not total:
            self._end_if_idle(time)
            return
        # At a low pace many intervals have no response. Their time counts.
        elapsed_seconds = time - self._observed_at
        self._observed_at = time
        is_failing = trouble > FAILURE_FRACTION * total
        is_slow = self._is_slow(interval, time)
        if self._requests_per_second is None:
            if not is_failing:
                self._adapt(interval)
            elif time - self._ended_at < RELAPSE_SECONDS:
                self._requests_per_second = FALL_FACTOR * self.full_rate
                self._usual_since = self._slow_since = None
                self._fell_at = time
            return
        if is_failing:
            self._fall(time)
            return
        if is_slow:
            if self._requests_per_second > ADAPT_FRACTION * self.full_rate:
                self._fall(time)
                return
            self._adapt(interval)
            self._requests_per_second = min(self._requests_per_second, self.full_rate)
            return
        if (interval.mean_seconds or 0.0) < self._usual_seconds:
            self._adapt(interval)
        if self._slow_since is not None or time - self._fell_at < HOLD_SECONDS:
            return
        rise = min(MAX_RISE, RISE_PER_SECOND**elapsed_seconds)
        self._requests_per_second *= rise
        if self._requests_per_second < self.full_rate:
            return
        self._requests_per_second = self.full_rate
        if self._usual_since is None:
            self._usual_since = time
        if time - self._usual_since >= USUAL_SECONDS:
            self._requests_per_second = None
            self._ended_at = time

    def _end_if_idle(self, time: float) -> None:
        """End a pace that nobody uses, and that no answer would end.

        Targets that register before there is traffic would otherwise all be
        limited when it begins.
        """
        is_idle = time - self._observed_at > IDLE_SECONDS
        if self._requests_per_second is not None and is_idle:
            self._requests_per_second = None

    def _is_slow(self, interval: Interval, time: float) -> bool:
        """Return whether the target has been slow for longer than noise."""
        mean_seconds = interval.mean_seconds
        if mean_seconds is None:
            return False
        if mean_seconds <= SLOW_FACTOR * self._usual_seconds:
            self._slow_since = None
            return False
        if self._slow_since is None:
            self._slow_since = time
        return time - self._slow_since >= SLOW_SECONDS

    def _fall(self, time: float) -> None:
        if self._requests_per_second is None:
            return
        self._usual_since = None
        self._fell_at = time
        self._requests_per_second = max(
            MIN_FRACTION * self.full_rate, FALL_FACTOR * self._requests_per_second
        )

    def _adapt(self, interval: Interval) -> None:
        if interval.mean_seconds is not None:
            change = interval.mean_seconds - self._usual_seconds
            self._usual_seconds += ADAPT_WEIGHT * change
