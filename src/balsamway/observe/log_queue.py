"""Writes log lines in a thread, so that a slow reader blocks no caller."""

from __future__ import annotations

import logging
import queue
from logging.handlers import QueueHandler, QueueListener

FINISH_TIMEOUT_SECONDS = 0.3
"""How long a process that ends waits until its last lines are written."""

MAX_QUEUED_LINES = 2_000
"""How many lines may wait to be written. Further lines are dropped and
counted."""


class BoundedQueueHandler(QueueHandler):
    """Passes records to a writer's queue, and drops them while it is full."""

    def __init__(self, lines: queue.Queue[logging.LogRecord]) -> None:
        """Create the handler of a queue.

        Args:
            lines: The writer's queue, which has a maximum size.
        """
        super().__init__(lines)
        self.dropped = 0
        """The lines dropped since their number was last logged."""

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a record in the queue without blocking.

        The first record after dropped ones is preceded by a record with their
        number.

        Args:
            record: The record to write.
        """
        try:
            if self.dropped:
                self.queue.put_nowait(_make_dropped_record(self.dropped))
                self.dropped = 0
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class LogWriter(QueueListener):
    """Writes the records of a queue in a thread."""

    def finish(self) -> None:
        """Wait until the queued records are written, for a bounded time.

        Return at once if the thread is not running or the queue is full.
        """
        thread = self._thread
        if thread is None:
            return
        try:
            self.enqueue_sentinel()
        except queue.Full:
            return
        thread.join(FINISH_TIMEOUT_SECONDS)


def start_writer(handler: logging.Handler) -> tuple[QueueHandler, LogWriter]:
    """Start a thread that writes log records.

    Args:
        handler: Formats and writes the records.

    Returns:
        The handler to log through, and the writer, whose `finish()` is to be
        called before the process ends.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    writer = LogWriter(lines, handler)
    writer.start()
    return BoundedQueueHandler(lines), writer


def _make_dropped_record(count: int) -> logging.LogRecord:
    record = logging.LogRecord(
        __name__, logging.WARNING, __file__, 0, "log-lines-dropped", None, None
    )
    record.n = count
    return record
