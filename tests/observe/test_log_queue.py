from __future__ import annotations

import json
import logging
import os
import queue
import threading
import time

import pytest

from balsamway.observe.json_logs import set_up_json_logs
from balsamway.observe.log_queue import MAX_QUEUED_LINES

MAX_SECONDS_PER_LINE = 0.001
"""The mean time that one log call may take while the reader is stalled. A line
that is queued or dropped takes microseconds."""


@pytest.fixture
def root():
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    yield root
    root.handlers = handlers
    root.setLevel(level)


def test_lines_are_written_with_their_fields(root):
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        finish = set_up_json_logs("h", "z", stream=stream, in_thread=True)
        logging.getLogger("balsamway.x").info("happened", extra={"n": 3})
        finish()
    with os.fdopen(reader) as stream:
        line = json.loads(stream.readline())
    assert (line["event"], line["n"], line["host"]) == ("happened", 3, "h")


# A process that reads the log may stop reading, which fills the pipe. A logger
# that writes to it directly then blocks the event loop. Lines beyond the size
# of the queue are to be dropped instead, and every dropped line counted.
def test_a_stalled_reader_does_not_block_logging(root):
    reader, writer = os.pipe()
    stream = os.fdopen(writer, "w")
    finish = set_up_json_logs("h", "z", stream=stream, in_thread=True)
    logger = logging.getLogger("balsamway.x")
    lines = 3 * MAX_QUEUED_LINES
    started_at = time.perf_counter()
    for number in range(lines):
        logger.info("full", extra={"n": number, "text": "x" * 200})
    finish()
    assert time.perf_counter() - started_at < lines * MAX_SECONDS_PER_LINE
    received = queue.Queue()
    threading.Thread(target=_read_events, args=(reader, received), daemon=True).start()
    first = [received.get(timeout=5) for _ in range(MAX_QUEUED_LINES)]
    logger.info("after")
    rest = list(iter(lambda: received.get(timeout=5), "after"))
    events = [*first, *rest]
    dropped = sum(event for event in events if isinstance(event, int))
    assert dropped > 0
    assert dropped + events.count("full") == lines


def _read_events(descriptor, received):
    with os.fdopen(descriptor) as stream:
        for line in stream:
            entry = json.loads(line)
            is_dropped = entry["event"] == "log-lines-dropped"
            received.put(entry["n"] if is_dropped else entry["event"])
