"""The result of comparing a response with its request."""

from __future__ import annotations

from enum import StrEnum


class AnswerCheck(StrEnum):
    """Whether a response is complete and belongs to its request."""

    NONE = "none"
    """There was no response from a target to check."""
    WHOLE = "whole"
    TRUNCATED = "truncated"
    SWAPPED = "swapped"
    """The response names another request or another key."""
