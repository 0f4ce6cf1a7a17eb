"""Messages about requests that may end targets."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@message("target-ended")
@dataclass(frozen=True, slots=True)
class TargetEnded:
    """A target ended while requests of a host were in progress there."""

    target: str
    incarnation: int
    requests: tuple[int, ...]
    """The fingerprints of the requests."""
    is_relayed: bool = False
    """Whether the leader passes on the message of another host."""


@message("trial-request")
@dataclass(frozen=True, slots=True)
class TrialRequest:
    """Asks the leader whether a host may try a request after a quarantine."""

    request: int
    """The fingerprint of the request."""


@message("trial-response")
@dataclass(frozen=True, slots=True)
class TrialResponse:
    """The leader's answer to a `TrialRequest`."""

    is_allowed: bool


@message("suspicion-cleared")
@dataclass(frozen=True, slots=True)
class SuspicionCleared:
    """A target has answered a request that was suspect."""

    request: int
    """The fingerprint of the request."""
    is_relayed: bool = False
    """Whether the leader passes on the message of another host."""
