"""Bounds how many log lines of one kind are written in a second."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.clock import now

if TYPE_CHECKING:
    import logging


class LineLimit:
    """Counts the lines of each second, and says how many were left out."""

    def __init__(self, logger: logging.Logger, per_second: int) -> None:
        """Starts without any line.

        Args:
            logger: Where the count of what was left out goes.
            per_second: How many lines a second are written.
        """
        self._logger = logger
        self._per_second = per_second
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def allow(self) -> bool:
        """Counts a line.

        Returns:
            Whether it is to be written.
        """
        second = int(now())
        if second != self._second:
            if self._left_out:
                self._logger.warning("lines-left-out", extra={"n": self._left_out})
            self._second, self._lines, self._left_out = second, 0, 0
        self._lines += 1
        if self._lines > self._per_second:
            self._left_out += 1
            return False
        return True
