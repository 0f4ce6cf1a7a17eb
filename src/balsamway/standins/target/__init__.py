"""A simulated target of a workspace's service."""

from balsamway.standins.target.run_times import RunTimes
from balsamway.standins.target.target_faults import TargetFaults
from balsamway.standins.target.target_settings import TargetSettings
from balsamway.standins.target.target_standin import TargetStandin

__all__ = ["RunTimes", "TargetFaults", "TargetSettings", "TargetStandin"]
