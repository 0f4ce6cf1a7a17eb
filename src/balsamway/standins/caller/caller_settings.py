"""The settings of the caller stand-in."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.standins.caller.call_kind import CallKind


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """The settings that the caller stand-in starts with."""

    workspace: str
    token: str
    """The bearer token that is sent with each request."""
    gateways: tuple[str, ...]
    """The addresses at which entry hosts accept requests, as `ip:port`."""
    kinds: tuple[CallKind, ...]
    requests_per_second: float = 100.0
    """The mean rate of a Poisson process of arrivals."""
    seconds: float = 0.0
    """How long to send requests; 0 to send them until stopped."""
    keys: int = 10_000
    """The number of different keys per service."""
    zipf_exponent: float = 1.0
    """The exponent of the Zipf distribution of keys; 0 for a uniform one."""
    hot_keys: int = 0
    """The number of keys in the hot set."""
    hot_share: float = 0.5
    """The share of requests, as 0..1, whose key is drawn from the hot set."""
    hot_change_seconds: float = 0.0
    """The interval at which the hot set is drawn anew; 0 for never."""
    in_flight_limit: int = 2000
    """The maximum number of requests in flight; further ones are skipped."""
    grace_seconds: float = 1.0
    """How much longer than the request's timeout a caller waits."""
    journal_file: str = ""
    """The file for the journal, as JSON lines; empty to write none."""
    seed: int = 0
    """The seed of the random arrival times, kinds, entry hosts and keys."""
