"""Where slices should be: load estimates, hot keys, placement and moves."""

from balsamway.balance.candidate import Candidate, CandidateState
from balsamway.balance.move import Move
from balsamway.balance.placement_input import PlacementInput, SliceLoad
from balsamway.balance.plan import Plan
from balsamway.balance.planner import Planner
from balsamway.balance.split import Split

__all__ = [
    "Candidate",
    "CandidateState",
    "Move",
    "PlacementInput",
    "Plan",
    "Planner",
    "SliceLoad",
    "Split",
]
