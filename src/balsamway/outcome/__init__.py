"""What became of a request: verdicts, and the reasons they carry."""

from balsamway.outcome.reason import Reason
from balsamway.outcome.verdict import Completed, MayHaveRun, NotRun, Verdict

__all__ = ["Completed", "MayHaveRun", "NotRun", "Reason", "Verdict"]
