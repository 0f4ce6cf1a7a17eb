"""The pace of targets that start or recover, the same for all hosts."""

from balsamway.pace.experience import Experience
from balsamway.pace.interval import Interval
from balsamway.pace.pace_limit import PaceLimit
from balsamway.pace.pace_table import PaceTable
from balsamway.pace.target_pace import TargetPace

__all__ = ["Experience", "Interval", "PaceLimit", "PaceTable", "TargetPace"]
