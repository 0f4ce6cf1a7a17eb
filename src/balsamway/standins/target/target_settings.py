"""The settings of a target stand-in."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.standins.target.run_times import RunTimes
from balsamway.standins.target.target_faults import TargetFaults


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """What a target stand-in is told at its start."""

    name: str
    zone: str
    workspace: str
    service: str
    listen: str = "127.0.0.1:0"
    checks_grants: bool = True
    slots: int = 3
    queue_limit: int = 64
    """How many requests may wait for a slot; more are refused."""
    connection_limit: int = 110
    connection_seconds: float = 0.001
    """What the first request of a connection takes more."""
    run_times: RunTimes = field(default_factory=RunTimes)
    run_times_by_kind: dict[str, RunTimes] = field(default_factory=dict)
    cold_start_seconds: float = 0.0
    """How long the target is slow after its start."""
    cold_start_slowness: float = 4.0
    drain_seconds: float = 0.0
    """How long a stop waits for the grants and runs to end; 0 for none."""
    clock_offset_seconds: float = 0.0
    """What the target's own clock is ahead of the runtime's."""
    platform: str = ""
    """The platform's base address, to be listed by; empty for none."""
    journal_file: str = ""
    """Where runs and grants are written as JSON lines; empty for nowhere."""
    seed: int = 0
    faults: TargetFaults = field(default_factory=TargetFaults)
