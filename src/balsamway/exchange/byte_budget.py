"""Bounds the memory that callers and targets make a host hold."""

from __future__ import annotations

import logging
from typing import NamedTuple, Protocol, TypeAlias, runtime_checkable

from balsamway.clock import now
from balsamway.observe.line_limit import LineLimit

DEFAULT_MAX_BYTES = 32 << 20
"""Holds four of the largest responses."""
MEMORY_FRACTION = 0.25
"""The fraction of a process's memory that may be held. The rest is for the
process itself, which takes some 60 MB, and for copies."""
BYTES_PER_MEGABYTE = 1_000_000
MAX_LINES_PER_SECOND = 10
"""Bounds the log lines about holders that were given up."""

logger = logging.getLogger(__name__)


class ResponseHolder(Protocol):
    """Receives a response, and holds what has arrived of it."""

    def give_up_response(self, reason: str) -> None:
        """Drop what is held, and end the exchange.

        Args:
            reason: Why the response is given up.
        """


@runtime_checkable
class CallerHolder(Protocol):
    """Holds what a caller sent, or has not read yet."""

    def give_up(self, reason: str) -> None:
        """Drop what is held, and end the connection or request.

        Args:
            reason: Why it is given up.
        """


Holder: TypeAlias = ResponseHolder | CallerHolder


class _Share(NamedTuple):
    """What one holder holds."""

    held_bytes: int
    stalled_since: float | None
    """When the holder last made progress, or None if that does not count."""

    def weight(self, at: float) -> float:
        """Return the bytes, multiplied by the seconds without progress."""
        if self.stalled_since is None:
            return self.held_bytes
        return self.held_bytes * (1.0 + at - self.stalled_since)


class ByteBudget:
    """Gives up the largest holder when all together hold too much.

    Whatever has no end grows until it is the largest, however many there are.
    Others go on, and none has to wait for memory. Among holders that wait for
    a caller, one that makes no progress counts as larger.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Create a budget of which nothing is used.

        Args:
            max_bytes: How many bytes all holders together may hold.
        """
        self._max_bytes = max_bytes
        self._shares: dict[Holder, _Share] = {}
        self._total_bytes = 0
        self._given_up_count = 0
        self._line_limit = LineLimit(logger, MAX_LINES_PER_SECOND)

    @classmethod
    def of_memory(cls, memory_megabytes: float) -> ByteBudget:
        """Create the budget of a process.

        Args:
            memory_megabytes: The memory that the process may use.
        """
        return cls(int(MEMORY_FRACTION * memory_megabytes * BYTES_PER_MEGABYTE))

    @property
    def max_bytes(self) -> int:
        """How many bytes all holders together may hold."""
        return self._max_bytes

    @property
    def held_bytes(self) -> int:
        """How many bytes all holders together hold."""
        return self._total_bytes

    @property
    def given_up_count(self) -> int:
        """How many holders were given up."""
        return self._given_up_count

    def hold(
        self, holder: Holder, held_bytes: int, stalled_since: float | None = None
    ) -> None:
        """Note how much a holder holds now.

        Over the bound, the largest holder is given up, which may be this one.

        Args:
            holder: Who holds the bytes.
            held_bytes: The memory that they take.
            stalled_since: When the caller that the holder waits for last made
                progress, in event loop time. None if it waits for no caller.
        """
        previous = self._shares.get(holder)
        if previous is not None:
            self._total_bytes -= previous.held_bytes
        self._total_bytes += held_bytes
        self._shares[holder] = _Share(held_bytes, stalled_since)
        while self._total_bytes > self._max_bytes:
            self._give_up_largest()

    def release(self, holder: Holder) -> None:
        """Note that a holder holds nothing any more.

        Args:
            holder: Who held bytes.
        """
        share = self._shares.pop(holder, None)
        if share is not None:
            self._total_bytes -= share.held_bytes

    def dump(self) -> dict[str, object]:
        """Return the budget's state for the state dump."""
        return {
            "max_bytes": self._max_bytes,
            "held_bytes": self._total_bytes,
            "holders": len(self._shares),
            "given_up": self._given_up_count,
        }

    def _give_up_largest(self) -> None:
        at = now()
        largest, share = max(self._shares.items(), key=lambda item: item[1].weight(at))
        if self._line_limit.allow():
            self._log(largest, share)
        self._given_up_count += 1
        self.release(largest)
        if isinstance(largest, CallerHolder):
            largest.give_up("the requests in progress take too much memory")
        else:
            largest.give_up_response("the responses in progress take too much memory")

    def _log(self, holder: Holder, share: _Share) -> None:
        fields = {
            "bytes": share.held_bytes,
            "all_bytes": self._total_bytes,
            "max_bytes": self._max_bytes,
            "holders": len(self._shares),
        }
        if isinstance(holder, CallerHolder):
            logger.warning("caller-given-up", extra=fields)
        else:
            logger.warning("response-given-up", extra=fields)
