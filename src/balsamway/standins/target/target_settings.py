"""The settings of a target stand-in."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.standins.target.run_times import RunTimes
from balsamway.standins.target.target_faults import TargetFaults


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """The settings that a target stand-in starts with."""

    name: str
    zone: str
    workspace: str
    service: str
    listen: str = "127.0.0.1:0"
    """The `ip:port` to listen on; port 0 lets the kernel choose one."""
    checks_grants: bool = True
    """Whether the target enforces fencing tokens and grants."""
    slots: int = 3
    """How many requests run at the same time."""
    queue_limit: int = 64
    """How many requests may wait for a slot; further ones are refused."""
    connection_limit: int = 110
    """How many connections are accepted at once; further ones are closed."""
    connection_seconds: float = 0.001
    """The additional time that the first request of a connection takes."""
    run_times: RunTimes = field(default_factory=RunTimes)
    run_times_by_kind: dict[str, RunTimes] = field(default_factory=dict)
    """The run times of request kinds that differ from `run_times`."""
    cold_start_seconds: float = 0.0
    """The duration of the simulated cold start after the target's start."""
    cold_start_slowness: float = 4.0
    """The factor by which run times are multiplied during the cold start."""
    drain_seconds: float = 0.0
    """The maximum time that a stop waits for grants and runs to end; 0 to stop
    at once.
    """
    clock_offset_seconds: float = 0.0
    """How far the target's own clock is ahead of the event loop time."""
    platform: str = ""
    """The base URL of the platform stand-in with which the target registers;
    empty to register nowhere.
    """
    journal_file: str = ""
    """The file for the journal, as JSON lines; empty to write none."""
    seed: int = 0
    """The seed of the random run times."""
    faults: TargetFaults = field(default_factory=TargetFaults)
    """The faults that are on at the start."""
