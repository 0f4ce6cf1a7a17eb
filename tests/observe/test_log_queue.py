from __future__ import annotations

import json
import logging
import os
import queue
import threading
import time

import pytest

from balsamway.observe.json_logs import set_up_json_logs
from balsamway.observe.log_queue import LINES_AT_MOST

LINE_SECONDS_AT_MOST = 0.001
"""A line that is queued or dropped takes microseconds."""


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


def test_a_reader_that_stalls_delays_nothing(root):
    reader, writer = os.pipe()
    stream = os.fdopen(writer, "w")
    finish = set_up_json_logs("h", "z", stream=stream, in_thread=True)
    logger = logging.getLogger("balsamway.x")
    lines = 3 * LINES_AT_MOST
    began = time.perf_counter()
    for number in range(lines):
        logger.info("full", extra={"n": number, "text": "x" * 200})
    finish()
    assert time.perf_counter() - began < lines * LINE_SECONDS_AT_MOST
    found = queue.Queue()
    threading.Thread(target=_read, args=(reader, found), daemon=True).start()
    first = [found.get(timeout=5) for _ in range(LINES_AT_MOST)]
    logger.info("after")
    rest = list(iter(lambda: found.get(timeout=5), "after"))
    events = [*first, *rest]
    dropped = sum(one for one in events if isinstance(one, int))
    assert dropped > 0
    assert dropped + events.count("full") == lines


def _read(descriptor, found):
    with os.fdopen(descriptor) as stream:
        for line in stream:
            entry = json.loads(line)
            is_dropped = entry["event"] == "log-lines-dropped"
            found.put(entry["n"] if is_dropped else entry["event"])
