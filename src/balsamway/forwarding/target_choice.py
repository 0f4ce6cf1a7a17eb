"""Chooses a target for a request to a service without exclusive keys."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterator, Sequence

    from balsamway.forwarding.target_state import TargetState
    from balsamway.forwarding.work_separation import TargetPreference

OTHER_ZONE_PENALTY_FRACTION = 0.2
"""The penalty of a target in another zone, as a fraction of the route's
latency objective. The path to it takes two ms more, and traffic between zones
is paid for. That costs more than a short wait in the local zone."""
DEFAULT_SERVICE_SECONDS = 0.1
"""The assumed service time while no target of a service has responded yet."""
UNTRIED_FRACTION = 0.3
"""The assumed response time of a target without any request yet, as a
fraction of the mean service time. The low value lets a target that joined be
tried even if others are known to be fast."""
SAMPLE_SIZE = 2
"""The number of targets of the local zone, and of all other zones together,
that are compared for a request. The second one brings nearly all the benefit
that more would bring."""
FAILURE_PENALTY_SECONDS = 0.5
"""The penalty of a target whose attempts all fail, in waiting time. It is
scaled by the failure rate."""


def choose_target(
    states: Sequence[TargetState],
    zone: str,
    objective_seconds: float,
    tried: Collection[str],
    rng: random.Random,
    preference: TargetPreference | None = None,
) -> TargetState | None:
    """Choose the target that is expected to respond first.

    Targets that are in backoff or have no connection available are chosen
    only if there is no other, and unreachable ones only if all are.

    Args:
        states: The targets of the service that may receive requests.
        zone: The availability zone of this host.
        objective_seconds: The latency objective of the route.
        tried: The names of the targets that the request was sent to already.
        rng: Samples the targets that are compared.
        preference: Which targets suit the request; None if all do.

    Returns:
        A target, or None if there is none left to try.
    """
    untried = [state for state in states if state.entry.name not in tried]
    available = [
        state for state in untried if not state.is_in_backoff and state.pool.has_room
    ]
    candidates = available or [state for state in untried if not state.is_unreachable]
    if not candidates:
        candidates = untried
    if not candidates:
        return None
    mean_seconds = mean_service_seconds(states)
    zone_penalty = OTHER_ZONE_PENALTY_FRACTION * objective_seconds

    def cost(state: TargetState) -> float:
        seconds = (
            expected_response_seconds(state, mean_seconds)
            + FAILURE_PENALTY_SECONDS * state.failure_rate
        )
        if preference is not None and not preference.suits(state.position):
            seconds += preference.penalty_seconds
        return seconds if state.entry.zone == zone else seconds + zone_penalty

    sample = [
        state
        for group in _groups(candidates, zone, preference)
        for state in _sample(group, mean_seconds, rng)
    ]
    return min(sample, key=cost)


def _groups(
    states: Sequence[TargetState], zone: str, preference: TargetPreference | None
) -> Iterator[Sequence[TargetState]]:
    """Divide targets into the groups of which a sample each is compared."""
    parts = [states]
    if preference is not None:
        suited = [state for state in states if preference.suits(state.position)]
        others = [state for state in states if not preference.suits(state.position)]
        parts = [suited, others]
    for part in parts:
        yield [state for state in part if state.entry.zone == zone]
        yield [state for state in part if state.entry.zone != zone]


def _sample(
    states: Sequence[TargetState], mean_seconds: float, rng: random.Random
) -> list[TargetState]:
    """Sample up to `SAMPLE_SIZE` targets, with a bias towards faster ones.

    All entry hosts see the same loads, some tenths of a second late. If each
    of them took the best of all targets, they would all take the same one.

    Args:
        states: The targets to sample from.
        mean_seconds: The service time to assume for targets without one.
        rng: Draws the sample.

    Returns:
        The sampled targets.
    """
    if len(states) <= SAMPLE_SIZE:
        return list(states)

    def sampling_key(state: TargetState) -> float:
        seconds = state.service_seconds or state.latency_seconds or mean_seconds
        return float(rng.random() ** (seconds / mean_seconds))

    return heapq.nlargest(SAMPLE_SIZE, states, key=sampling_key)


def mean_service_seconds(states: Sequence[TargetState]) -> float:
    """Return the mean service time over all targets of a service.

    Args:
        states: The targets of the service.

    Returns:
        The mean in seconds, or a default if no target has responded yet.
    """
    estimates = [state.service_seconds or state.latency_seconds for state in states]
    known = [seconds for seconds in estimates if seconds is not None]
    return sum(known) / len(known) if known else DEFAULT_SERVICE_SECONDS


def expected_queue_seconds(state: TargetState, default_seconds: float) -> float:
    """Return how long a request is expected to wait for a slot at a target.

    Args:
        state: The target.
        default_seconds: The service time to assume if the target has not
            responded yet.

    Returns:
        The time in seconds, 0 if a slot is free.
    """
    seconds = state.service_seconds or state.latency_seconds or default_seconds
    capacity = max(1, state.entry.capacity)
    queued = state.known_in_flight + 1.0 - capacity
    seconds *= state.warm_up_factor * state.occupancy.slowdown
    return max(0.0, queued) * seconds / capacity


def expected_response_seconds(state: TargetState, default_seconds: float) -> float:
    """Return how long a request is expected to take at a target.

    Args:
        state: The target.
        default_seconds: The service time to assume if the target has not
            responded yet.

    Returns:
        The time in seconds, queueing included.
    """
    known_seconds = state.service_seconds or state.latency_seconds
    if known_seconds is None and not state.in_flight:
        return UNTRIED_FRACTION * default_seconds
    seconds = known_seconds or default_seconds
    capacity = max(1, state.entry.capacity)
    in_flight = state.known_in_flight
    queue_factor = max(1.0, (in_flight + 1.0) / capacity)
    slowness = state.warm_up_factor * state.occupancy.slowdown
    expected_seconds = seconds * slowness * queue_factor
    # Even below its capacity, a target with less load responds sooner.
    return expected_seconds * (1.0 + 0.1 * in_flight / capacity)
