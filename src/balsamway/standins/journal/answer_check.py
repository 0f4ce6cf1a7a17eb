"""How an answer compares with the request it was received for."""

from __future__ import annotations

from enum import StrEnum


class AnswerCheck(StrEnum):
    """Whether an answer is whole and belongs to its request."""

    NONE = "none"
    """There was no answer of a target to check."""
    WHOLE = "whole"
    TRUNCATED = "truncated"
    SWAPPED = "swapped"
    """The answer names another request or another key."""
