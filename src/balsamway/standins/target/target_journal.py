"""What a target stand-in writes down."""

from __future__ import annotations

from balsamway.standins.journal import GrantHeld, Journal, Run, StopAsked
from balsamway.standins.target.grant_journal import GrantJournal
from balsamway.standins.target.journal_file import JournalFile


class TargetJournal:
    """Keeps grants held, runs and planned stops, and appends them to a file.

    Args:
        target: The target's name.
        clock_offset: What its own clock is ahead, in seconds.
        file: The file's name; empty for none.
    """

    def __init__(self, target: str, clock_offset: float, file: str) -> None:
        self._grants: list[GrantHeld] = []
        self._runs: list[Run] = []
        self._stops: list[StopAsked] = []
        self._file = JournalFile(file)
        self.grants = GrantJournal(target, clock_offset, self._add_grant)

    @property
    def run_count(self) -> int:
        """How many attempts were written down."""
        return len(self._runs)

    def open(self) -> None:
        """Opens the file."""
        self._file.open()

    def close(self) -> None:
        """Writes the grants still held, and closes the file."""
        for held in self.grants.still_open():
            self._file.write("grant", held)
        self._file.close()

    def add_run(self, run: Run) -> None:
        """Writes down an attempt.

        Args:
            run: The attempt's record.
        """
        self._runs.append(run)
        self._file.write("run", run)

    def add_stop(self, stop: StopAsked) -> None:
        """Writes down that the target was asked to leave.

        Args:
            stop: The record.
        """
        self._stops.append(stop)
        self._file.write("stop", stop)

    def read(self) -> Journal:
        """Gives all that was written down, grants still held included."""
        return Journal(
            grants=(*self._grants, *self.grants.still_open()),
            runs=tuple(self._runs),
            stops=tuple(self._stops),
        )

    def _add_grant(self, held: GrantHeld) -> None:
        self._grants.append(held)
        self._file.write("grant", held)
