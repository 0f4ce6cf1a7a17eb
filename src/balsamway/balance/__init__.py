"""Estimates load, finds hot keys, and plans where slices should be."""

from balsamway.balance.candidate import Candidate, CandidateState
from balsamway.balance.heavy_hitters import HeavyHitters
from balsamway.balance.load_estimate import LoadEstimate
from balsamway.balance.load_recorder import LoadRecorder
from balsamway.balance.load_reporter import LoadReporter
from balsamway.balance.load_table import LoadTable
from balsamway.balance.move import Move
from balsamway.balance.placement_input import PlacementInput, SliceLoad
from balsamway.balance.placement_limits import PlacementLimits
from balsamway.balance.placement_planner import PlacementPlanner
from balsamway.balance.plan import Plan
from balsamway.balance.planner import Planner
from balsamway.balance.slice_source import SliceSource
from balsamway.balance.split import Split

__all__ = [
    "Candidate",
    "CandidateState",
    "HeavyHitters",
    "LoadEstimate",
    "LoadRecorder",
    "LoadReporter",
    "LoadTable",
    "Move",
    "PlacementInput",
    "PlacementLimits",
    "PlacementPlanner",
    "Plan",
    "Planner",
    "SliceLoad",
    "SliceSource",
    "Split",
]
