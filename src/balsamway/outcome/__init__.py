"""Verdicts on requests and attempts, and their reasons."""

from balsamway.outcome.malformed import Malformed
from balsamway.outcome.reason import Reason
from balsamway.outcome.verdict import Completed, MayHaveRun, NotRun, Verdict

__all__ = ["Completed", "Malformed", "MayHaveRun", "NotRun", "Reason", "Verdict"]
