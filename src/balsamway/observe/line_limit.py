"""Limits how many log lines of one kind are written per second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    import logging


class LineLimit:
    """Limits the log lines per second, and logs how many were suppressed."""

    def __init__(self, logger: logging.Logger, per_second: int) -> None:
        """Create a limit for one kind of log line.

        Args:
            logger: Where the number of suppressed lines is logged.
            per_second: How many lines may be written per second.
        """
        self._logger = logger
        self._lines_per_second = per_second
        self._second = 0
        self._line_count = 0
        self._suppressed = 0

    def allow(self) -> bool:
        """Count a line, and decide whether it may be written.

        Returns:
            Whether the line is within the limit of the current second.
        """
        second = int(now())
        if second != self._second:
            if self._suppressed:
                self._logger.warning("lines-left-out", extra={"n": self._suppressed})
            self._second, self._line_count, self._suppressed = (
                second,
                0,
                0,
            )
        self._line_count += 1
        if self._line_count > self._lines_per_second:
            self._suppressed += 1
            return False
        return True
