"""The records that the stand-ins write, for the checker to read."""

from balsamway.standins.journal.answer_check import AnswerCheck
from balsamway.standins.journal.assignment_told import AssignmentTold
from balsamway.standins.journal.grant_held import GrantHeld
from balsamway.standins.journal.journal import Journal
from balsamway.standins.journal.run import Run, RunOutcome
from balsamway.standins.journal.stop_asked import StopAsked
from balsamway.standins.journal.told import Told, ToldVerdict
from balsamway.standins.journal.version_seen import VersionSeen

__all__ = [
    "AnswerCheck",
    "AssignmentTold",
    "GrantHeld",
    "Journal",
    "Run",
    "RunOutcome",
    "StopAsked",
    "Told",
    "ToldVerdict",
    "VersionSeen",
]
