"""The settings of the caller stand-in."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.standins.caller.call_kind import CallKind


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """What the caller stand-in is told at its start."""

    workspace: str
    token: str
    gateways: tuple[str, ...]
    """The callers' addresses of entry hosts, as `ip:port`."""
    kinds: tuple[CallKind, ...]
    requests_per_second: float = 100.0
    seconds: float = 0.0
    """How long to call; 0 for until stopped."""
    keys: int = 10_000
    zipf_exponent: float = 1.0
    hot_keys: int = 0
    """How many keys of the hot set take the share below."""
    hot_share: float = 0.5
    hot_change_seconds: float = 0.0
    """How often the hot set changes; 0 for never."""
    in_flight_limit: int = 2000
    grace_seconds: float = 1.0
    """How much longer than its deadline a caller waits."""
    journal_file: str = ""
    seed: int = 0
