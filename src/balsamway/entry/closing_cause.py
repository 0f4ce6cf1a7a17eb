"""Why a host ends the connection of a caller."""

from __future__ import annotations

from enum import StrEnum


class ClosingCause(StrEnum):
    """The bound that a caller reached.

    The values are logged and used as metric labels.
    """

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    SLOW_HEAD = "slow-head"
    STALLED_BODY = "stalled-body"
    UNREAD_RESPONSE = "unread-response"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
