from __future__ import annotations

from enum import StrEnum


class StepKind(StrEnum):
    """What kind of call a step of a procedure is."""

    STORE_READ = "store-read"
    STORE_WATCH = "store-watch"
    STORE_WRITE = "store-write"
    MESSAGE = "message"
    ORDER = "order"
    REQUEST = "request"
