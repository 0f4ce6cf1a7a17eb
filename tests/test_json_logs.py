from __future__ import annotations

import io
import json
import logging

import pytest

from balsamway.observe.json_logs import set_up_json_logs


@pytest.fixture
def stream():
    root = logging.getLogger()
    package = logging.getLogger("balsamway")
    before = (root.handlers, root.level, package.level)
    stream = io.StringIO()
    set_up_json_logs("entry-1", "zone-1", stream=stream)
    yield stream
    root.handlers, root.level, package.level = before


def test_a_record_is_one_line_of_json(stream):
    logger = logging.getLogger("balsamway.part")
    logger.info("configuration adopted", extra={"workspace": "m", "version": 3})
    logging.getLogger("library").info("left out")
    (line,) = stream.getvalue().splitlines()
    entry = json.loads(line)
    assert entry.pop("time")
    assert entry == {
        "level": "INFO",
        "logger": "balsamway.part",
        "event": "configuration adopted",
        "host": "entry-1",
        "zone": "zone-1",
        "workspace": "m",
        "version": 3,
    }
