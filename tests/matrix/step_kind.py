from __future__ import annotations

from enum import StrEnum


class StepKind(StrEnum):
    """The kind of call made at a step of a procedure."""

    STORE_READ = "store-read"
    STORE_WATCH = "store-watch"
    STORE_WRITE = "store-write"
    MESSAGE = "message"
    ORDER = "order"
    REQUEST = "request"
