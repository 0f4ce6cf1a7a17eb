"""Messages about the tokens of limited targets."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.peers.codec import message


@dataclass(frozen=True, slots=True)
class TokenDemand:
    """The requests of one host that wait for a token of one target."""

    target: str
    incarnation: int
    limit: float
    """The requests per second that the target accepts, as the host knows."""
    limit_age_ms: int
    """How long ago the target named that limit, in milliseconds."""
    priorities: tuple[int, ...]
    """The priority of each request, the most urgent first."""
    names_limit: bool = True
    """Whether the target names the limit. If not, it is the cold rate or the
    pace, which a leader of an earlier build applies until the next
    response."""
    cold_per_second: float | None = None
    """The rate of the target while it is cold, None if it is warm."""
    cold_left_ms: int = 0
    """How long the target remains cold, 0 unless the host saw it turn cold."""


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """The tokens that a host got for one target."""

    tokens: int
    """The number of requests admitted, in the order of the demand."""
    next_token_ms: int
    """In how many milliseconds the next request may be admitted."""
    retry_after_ms: tuple[int, ...]
    """For each request held back, in how many milliseconds to return."""


@message("token-request")
@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks the leader for tokens; without demands, whether it grants any."""

    demands: tuple[TokenDemand, ...]


@message("cold")
@dataclass(frozen=True, slots=True)
class ColdNotice:
    """Targets that turned cold, to the leader or from it."""

    targets: dict[str, tuple[int, int]]
    """For each target: its incarnation, and how many milliseconds it remains
    cold."""


@message("token-response")
@dataclass(frozen=True, slots=True)
class TokenResponse:
    """The leader's answer to a `TokenRequest`."""

    grants: tuple[TokenGrant, ...]
    """The grant for each demand, in the same order."""
