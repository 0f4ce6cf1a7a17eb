"""Sets up logging as JSON lines."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO

import mode
from pythonjsonlogger.json import JsonFormatter

from balsamway.observe.log_queue import start_writer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MIN_LIBRARY_LEVEL = logging.WARNING
"""The lowest level at which records of other libraries are written."""

FIELD_NAMES: Mapping[str, str] = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
    "message": "event",
}
"""The name in the JSON line of each attribute of a log record."""


def set_up_json_logs(
    host: str,
    zone: str,
    level: int = logging.INFO,
    stream: TextIO | None = None,
    in_thread: bool = False,
) -> Callable[[], None]:
    """Write every log record as one line of JSON.

    Args:
        host: The name of this host, added to each line.
        zone: The availability zone of this host, added to each line.
        level: The lowest level at which records of this package are written.
        stream: Where lines are written; None for standard error.
        in_thread: Whether a separate thread writes the lines, so that a slow
            reader of the stream does not block the caller.

    Returns:
        A function that writes the remaining lines; call it before the process
        ends.
    """
    formatter = JsonFormatter(
        " ".join(f"%({name})s" for name in FIELD_NAMES),
        rename_fields=dict(FIELD_NAMES),
        static_fields={"host": host, "zone": zone},
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    # mode logs the start and stop of every service, at this level. They are
    # of no use to an operator, so they are logged as debug records.
    mode.Service.mundane_level = "debug"
    root = logging.getLogger()
    root.handlers = [handler]
    flush: Callable[[], None] = handler.flush
    if in_thread:
        queue_handler, writer = start_writer(handler)
        root.handlers = [queue_handler]
        flush = writer.finish
    root.setLevel(MIN_LIBRARY_LEVEL)
    logging.getLogger("balsamway").setLevel(level)
    return flush
