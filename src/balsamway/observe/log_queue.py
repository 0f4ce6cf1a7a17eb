"""Writes log lines from a thread, so that a slow reader delays nothing."""

from __future__ import annotations

import logging
import queue
from logging.handlers import QueueHandler, QueueListener

FINISH_SECONDS = 0.3
"""How long the end of a process waits for its last lines."""
LINES_AT_MOST = 2_000
"""The lines that wait to be written; more are dropped and counted."""


class BoundedQueueHandler(QueueHandler):
    """Hands records to a writer's queue, and drops them when it is full."""

    def __init__(self, lines: queue.Queue[logging.LogRecord]) -> None:
        """Makes the handler of a queue.

        Args:
            lines: The writer's queue, which has a bound.
        """
        super().__init__(lines)
        self.dropped = 0
        """How many lines were dropped since it was last said."""

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record without waiting.

        Args:
            record: The record.
        """
        try:
            if self.dropped:
                self.queue.put_nowait(_dropped_record(self.dropped))
                self.dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class LogWriter(QueueListener):
    """The thread that writes the records of a queue."""

    def finish(self) -> None:
        """Waits, for a bounded time, until what is queued is written."""
        thread = self._thread
        if thread is None:
            return
        try:
            self.enqueue_sentinel()
        except queue.Full:
            return
        thread.join(FINISH_SECONDS)


def start_writer(handler: logging.Handler) -> tuple[QueueHandler, LogWriter]:
    """Starts the thread that writes.

    Args:
        handler: Formats and writes the records.

    Returns:
        The handler to log through, and the writer, to be finished at the end.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(LINES_AT_MOST)
    writer = LogWriter(lines, handler)
    writer.start()
    return BoundedQueueHandler(lines), writer


def _dropped_record(count: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__, logging.WARNING, __file__, 0, "log-lines-dropped", None, None
    )
    record.n = count
    return record
