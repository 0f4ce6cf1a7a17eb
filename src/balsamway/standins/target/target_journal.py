"""The journal of a target stand-in."""

from __future__ import annotations

from balsamway.standins.journal import GrantHeld, Journal, Run, StopAsked
from balsamway.standins.target.grant_journal import GrantJournal
from balsamway.standins.target.journal_file import JournalFile


class TargetJournal:
    """Keeps held grants, runs and planned stops, and appends them to a file.

    Args:
        target: The target's name.
        clock_offset: How far the target's clock is ahead of the event loop
            time, in seconds.
        file: The file's name; empty to write no file.
    """

    def __init__(self, target: str, clock_offset: float, file: str) -> None:
        self._grants: list[GrantHeld] = []
        self._runs: list[Run] = []
        self._stops: list[StopAsked] = []
        self._file = JournalFile(file)
        self.grants = GrantJournal(target, clock_offset, self._add_grant)

    @property
    def run_count(self) -> int:
        """The number of recorded attempts."""
        return len(self._runs)

    def open(self) -> None:
        """Open the file."""
        self._file.open()

    def close(self) -> None:
        """Write the grants that are still held and close the file."""
        for grant in self.grants.open_intervals():
            self._file.write("grant", grant)
        self._file.close()

    def add_run(self, run: Run) -> None:
        """Record an attempt.

        Args:
            run: The record of the attempt.
        """
        self._runs.append(run)
        self._file.write("run", run)

    def add_stop(self, stop: StopAsked) -> None:
        """Record that the target was asked to drain.

        Args:
            stop: The record of the planned stop.
        """
        self._stops.append(stop)
        self._file.write("stop", stop)

    def read(self) -> Journal:
        """Return all records, including the grants that are still held."""
        return Journal(
            grants=(*self._grants, *self.grants.open_intervals()),
            runs=tuple(self._runs),
            stops=tuple(self._stops),
        )

    def _add_grant(self, grant: GrantHeld) -> None:
        self._grants.append(grant)
        self._file.write("grant", grant)
