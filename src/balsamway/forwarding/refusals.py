"""Refusals of requests that no target may receive now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.forwarding.target_rest import seconds_until_return
from balsamway.outcome import NotRun, Reason

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from balsamway.forwarding.target_state import TargetState

STOPPING_RETRY_AFTER_SECONDS = 0.05
"""The Retry-After time of a refusal because this host is stopping. It is short
because the retry goes to another host."""
MIN_LIMIT_RETRY_AFTER_SECONDS = 0.1
"""The least Retry-After time of a refusal for a target's limit."""

EVACUATED_RETRY_AFTER_SECONDS = 1.0
"""The Retry-After time of a refusal because all targets are evacuated. Nobody
knows when that ends; a change is known everywhere within 1.5 s."""
NOT_ALLOWED_RETRY_AFTER_SECONDS = 1.0
"""The Retry-After time of a refusal because the owner of a key is in a region
that the route does not allow. Keys move within seconds."""
MIN_FULL_RETRY_AFTER_SECONDS = 1.5
"""The least Retry-After time of a refusal because all targets are full. Two
notices of the leader arrive in it. With 0.25 s the returning callers kept the
targets full: 677 instead of 473 resets in a model of 85 hosts."""


def jitter(seconds: float, rng: random.Random) -> float:
    """Return a time that is up to a third shorter or longer."""
    return seconds * rng.uniform(0.7, 1.3)


def limit_used_up(held_back: Mapping[str, float], rng: random.Random) -> NotRun:
    """Return the refusal of a request for which no limit has room.

    Args:
        held_back: The seconds until there is room, by target.
        rng: Spreads the callers.
    """
    name, seconds = min(held_back.items(), key=lambda entry: entry[1])
    return NotRun(
        Reason.OVERLOADED,
        f"the limit of {name} is used up for {seconds:.3f} s",
        jitter(max(MIN_LIMIT_RETRY_AFTER_SECONDS, seconds), rng),
    )


def targets_rest(
    states: Sequence[TargetState], priority: int, rng: random.Random
) -> NotRun:
    """Return the refusal of a request whose targets all rest.

    Args:
        states: The targets; at least one.
        priority: The priority of the request's route.
        rng: Spreads the callers.
    """
    state = min(states, key=lambda state: state.rest.remaining_seconds)
    seconds = state.rest.remaining_seconds
    return NotRun(
        Reason.OVERLOADED,
        f"{state.entry.name} asked for rest for another {seconds:.3f} s",
        seconds_until_return(seconds, priority, rng),
    )


def all_evacuated(service: str, rng: random.Random) -> NotRun:
    """Return the refusal of a request whose targets are all evacuated.

    Args:
        service: The service, whose targets are all in evacuated zones.
        rng: Spreads the callers.
    """
    return NotRun(
        Reason.NO_TARGET,
        f"all targets of {service} are in evacuated zones",
        jitter(EVACUATED_RETRY_AFTER_SECONDS, rng),
    )


def region_not_allowed(state: TargetState, rng: random.Random) -> NotRun:
    """Return the refusal of a request whose route excludes its key's owner.

    Args:
        state: The owner of the request's key.
        rng: Spreads the callers.
    """
    return NotRun(
        Reason.NO_TARGET,
        f"{state.entry.name} is in a region that the route does not allow",
        jitter(NOT_ALLOWED_RETRY_AFTER_SECONDS, rng),
    )


def body_bound_reached(states: Sequence[TargetState], rng: random.Random) -> NotRun:
    """Return the refusal of a request whose body no target has room for.

    Args:
        states: The targets; at least one.
        rng: Spreads the callers.
    """
    state = min(states, key=lambda state: state.offered.seconds_until_room)
    return NotRun(
        Reason.OVERLOADED,
        f"{state.entry.name} is offered {state.offered.total} bytes already",
        jitter(state.offered.seconds_until_room, rng),
    )


def targets_full(
    states: Sequence[TargetState], is_repeatable: bool, rng: random.Random
) -> NotRun:
    """Return the refusal of a request whose targets are all full.

    Args:
        states: The targets; at least one.
        is_repeatable: Whether the request may be sent again after a reset.
        rng: Spreads the callers.
    """
    seconds, name = min(
        (state.seconds_until_room(is_repeatable), state.entry.name) for state in states
    )
    states[0].occupancy.room.refused_for_fullness += 1
    return NotRun(
        Reason.OVERLOADED,
        f"{name} is full for {seconds:.3f} s",
        jitter(max(MIN_FULL_RETRY_AFTER_SECONDS, seconds), rng),
    )


def host_stops(rng: random.Random) -> NotRun:
    """Return the refusal of a request that this host must not send."""
    return NotRun(
        Reason.STOPPING, "this host stops", jitter(STOPPING_RETRY_AFTER_SECONDS, rng)
    )
