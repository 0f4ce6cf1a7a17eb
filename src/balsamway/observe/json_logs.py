"""Sets up logs as JSON lines."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO

import mode
from pythonjsonlogger.json import JsonFormatter

from balsamway.observe.log_queue import start_writer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

LIBRARY_LEVEL = logging.WARNING
"""What other libraries log below this level is left out."""

FIELDS: Mapping[str, str] = {
    "asctime": "time",
    "levelname": "level",
    "name": "logger",
    "message": "event",
}


def set_up_json_logs(
    host: str,
    zone: str,
    level: int = logging.INFO,
    stream: TextIO | None = None,
    in_thread: bool = False,
) -> Callable[[], None]:
    """Sends every log record as one line of JSON.

    Args:
        host: The name of this host, given with each line.
        zone: The availability zone of this host, given with each line.
        level: The lowest level of this package's records to write.
        stream: Where to write; None for standard error.
        in_thread: Whether a thread of its own writes, so that a reader that
            stalls delays nothing else.

    Returns:
        To be called at the end, so that no line is left unwritten.
    """
    formatter = JsonFormatter(
        " ".join(f"%({name})s" for name in FIELDS),
        rename_fields=dict(FIELDS),
        static_fields={"host": host, "zone": zone},
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    # Each service logs its own start and stop, which says little here.
    mode.Service.mundane_level = "debug"
    root = logging.getLogger()
    root.handlers = [handler]
    flush: Callable[[], None] = handler.flush
    if in_thread:
        queue_handler, writer = start_writer(handler)
        root.handlers = [queue_handler]
        flush = writer.finish
    root.setLevel(LIBRARY_LEVEL)
    logging.getLogger("balsamway").setLevel(level)
    return flush
