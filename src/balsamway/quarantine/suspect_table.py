"""The requests that were in progress at targets when these ended."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from balsamway.quarantine.decision import Allowed, Isolated, Quarantined

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.quarantine.decision import Decision

MIN_ENDS = 2
"""The number of ends from which a request may be quarantined. One end shows
little, because a target may end by itself with many requests in progress."""
CERTAIN_ENDS = 3
"""The number of ends from which a request is quarantined whatever else was in
progress."""
SUSPICION_SECONDS = 30.0
"""How long a request with fewer ends than are certain is remembered."""
QUARANTINE_SECONDS = 10.0
"""How long a request is quarantined after fewer ends than are certain. It may
be innocent, so it gets another chance."""
CERTAIN_QUARANTINE_SECONDS = 60.0
"""How long a request is quarantined after as many ends as are certain."""
PROBATION_SECONDS = SUSPICION_SECONDS - QUARANTINE_SECONDS
"""How long a request is remembered after its quarantine. Meanwhile one host at
a time may try it."""
SIMULTANEOUS_SECONDS = 0.05
"""Ends of several targets within this time count as one: a lost rack or zone
ends many at once, as a single request does not."""
TURN_SECONDS = 0.25
"""The length of the turn of one isolated request."""
MAX_SUSPECTS = 4096
"""Bounds the remembered requests. The one with the oldest end is forgotten."""
MAX_TARGET_ENDS = 512
"""Bounds the remembered ends of targets."""
MAX_SUSPECTS_PER_END = 256
"""Bounds the requests that one end makes suspect. One that is left out is
caught at a later end."""

TargetKey = tuple[str, int]
"""The name and the incarnation of a target."""


@dataclass(slots=True)
class _Suspect:
    ends: int = 0
    last_end: TargetKey = ("", 0)
    last_end_at: float = -math.inf


@dataclass(slots=True)
class _TargetEnd:
    at: float
    suspects: set[int] = field(default_factory=set)


class SuspectTable:
    """Counts, for each request, the targets that ended while it ran there."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self._target_ends: OrderedDict[TargetKey, _TargetEnd] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspect."""
        return not self._suspects

    def record(self, target: TargetKey, requests: Iterable[int], time: float) -> None:
        """Record the requests that were in progress when a target ended.

        Several hosts report the same end, each with its own requests.

        Args:
            target: The target that ended.
            requests: The fingerprints of the requests.
            time: When the end was noticed, in event loop time.
        """
        target_end = self._target_ends.setdefault(target, _TargetEnd(time))
        while len(self._target_ends) > MAX_TARGET_ENDS:
            self._target_ends.popitem(last=False)
        for request in requests:
            if request in target_end.suspects:
                continue
            if len(target_end.suspects) >= MAX_SUSPECTS_PER_END:
                break
            target_end.suspects.add(request)
            suspect = self._suspects.setdefault(request, _Suspect())
            if target_end.at - suspect.last_end_at > _memory_seconds(suspect):
                suspect.ends = 0
            if abs(target_end.at - suspect.last_end_at) > SIMULTANEOUS_SECONDS:
                suspect.ends += 1
            suspect.last_end, suspect.last_end_at = target, target_end.at
            self._suspects.move_to_end(request)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def clear(self, request: int) -> bool:
        """Forget a request that a target has answered.

        Args:
            request: The fingerprint of the request.

        Returns:
            Whether the request was suspect.
        """
        return self._suspects.pop(request, None) is not None

    def decide(self, request: int, time: float) -> Decision:
        """Decide whether a request may be sent now.

        Requests that ended the same number of targets, the last one at the
        same time, cannot be told apart. They take turns, so that the next end
        has one of them in progress.

        Args:
            request: The fingerprint of the request.
            time: The current event loop time.

        Returns:
            The decision.
        """
        suspect = self._suspects.get(request)
        if suspect is None or suspect.ends < MIN_ENDS:
            return Allowed()
        is_certain = suspect.ends >= CERTAIN_ENDS
        seconds = CERTAIN_QUARANTINE_SECONDS if is_certain else QUARANTINE_SECONDS
        remaining_seconds = suspect.last_end_at + seconds - time
        if remaining_seconds <= 0:
            return Allowed()
        peers = self._equally_suspect(suspect)
        if is_certain or len(peers) <= 1:
            return Quarantined(suspect.ends, remaining_seconds)
        turn = int((time - suspect.last_end_at) / TURN_SECONDS)
        waits = (peers.index(request) - turn) % len(peers)
        if not waits:
            return Allowed()
        turn_ends_at = suspect.last_end_at + (turn + 1) * TURN_SECONDS
        return Isolated(turn_ends_at - time + (waits - 1) * TURN_SECONDS)

    def is_on_probation(self, request: int, time: float) -> bool:
        """Return whether a quarantine has ended, but not the suspicion.

        Args:
            request: The fingerprint of the request.
            time: The current event loop time.
        """
        suspect = self._suspects.get(request)
        if suspect is None or suspect.ends < MIN_ENDS:
            return False
        is_certain = suspect.ends >= CERTAIN_ENDS
        seconds = CERTAIN_QUARANTINE_SECONDS if is_certain else QUARANTINE_SECONDS
        return time - suspect.last_end_at >= seconds

    def remove_expired(self, time: float) -> None:
        """Forget requests and ends that are too old.

        Args:
            time: The current event loop time.
        """
        expired = [
            request
            for request, suspect in self._suspects.items()
            if time - suspect.last_end_at > _memory_seconds(suspect)
        ]
        for request in expired:
            del self._suspects[request]
        while self._target_ends:
            target, target_end = next(iter(self._target_ends.items()))
            if time - target_end.at <= SUSPICION_SECONDS:
                return
            del self._target_ends[target]

    def dump(self, time: float) -> dict[str, object]:
        """Return the requests with enough ends, for the state dump.

        Args:
            time: The current event loop time.
        """
        return {
            "suspects": len(self._suspects),
            "target_ends": len(self._target_ends),
            "repeated": {
                f"{request:016x}": {
                    "ends": suspect.ends,
                    "seconds_ago": round(time - suspect.last_end_at, 2),
                    "decision": type(self.decide(request, time)).__name__.lower(),
                }
                for request, suspect in self._suspects.items()
                if suspect.ends >= MIN_ENDS
            },
        }

    def _equally_suspect(self, suspect: _Suspect) -> list[int]:
        """Return the requests that explain the last end as well, in order."""
        target_end = self._target_ends.get(suspect.last_end)
        if target_end is None:
            return []
        return sorted(
            request
            for request in target_end.suspects
            if (other := self._suspects.get(request)) is not None
            and other.ends >= suspect.ends
        )


def _memory_seconds(suspect: _Suspect) -> float:
    if suspect.ends >= CERTAIN_ENDS:
        return CERTAIN_QUARANTINE_SECONDS + PROBATION_SECONDS
    return SUSPICION_SECONDS
