"""Chooses a target for a request to a service without exclusive keys."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from balsamway.forwarding.target_state import TargetState

OTHER_ZONE_SHARE = 0.2
"""What a target in another zone counts as slower, as a part of the route's
latency objective: its path takes two ms more, and traffic between zones is
paid for, by more than a short wait in the own zone costs the caller."""
UNKNOWN_SERVICE_SECONDS = 0.1
"""How long a request is taken to last at a target without any answer yet."""
UNTRIED_SHARE = 0.3
"""What a target without any request yet is taken to need, of the usual time;
one that joined is tried, though others may be known to be fast."""
DRAWN = 2
"""How many targets of the own zone, and of all others, are compared for a
request; the second choice brings nearly all that more would."""
FAILURE_SECONDS = 0.5
"""What a certain failure would count in waiting time."""


def choose_target(
    states: Sequence[TargetState],
    zone: str,
    objective_seconds: float,
    tried: Collection[str],
    rng: random.Random,
) -> TargetState | None:
    """Chooses the target that is expected to answer first.

    Args:
        states: The targets of the service that may get requests.
        zone: The availability zone of this host.
        objective_seconds: The latency objective of the route.
        tried: The names of the targets that the request was sent to.
        rng: Draws the targets that are compared.

    Returns:
        A target, or None where there is none left to try.
    """
    open_states = [one for one in states if one.entry.name not in tried]
    calm = [one for one in open_states if not one.is_avoided and one.pool.has_room]
    candidates = calm or [one for one in open_states if not one.is_unreachable]
    if not candidates:
        candidates = open_states
    if not candidates:
        return None
    usual = usual_seconds(states)
    away = OTHER_ZONE_SHARE * objective_seconds

    def cost(state: TargetState) -> float:
        expected = expected_seconds(state, usual) + FAILURE_SECONDS * state.failure_rate
        return expected if state.entry.zone == zone else expected + away

    near = [one for one in candidates if one.entry.zone == zone]
    far = [one for one in candidates if one.entry.zone != zone]
    drawn = [*_draw(near, usual, rng), *_draw(far, usual, rng)]
    return min(drawn, key=cost)


def _draw(
    states: Sequence[TargetState], usual: float, rng: random.Random
) -> list[TargetState]:
    """Draws some targets, faster ones more often.

    All entry hosts see the same loads, some tenths of a second late: if each
    took the best of all targets, they would all take the same one.
    """
    if len(states) <= DRAWN:
        return list(states)

    def lot(state: TargetState) -> float:
        seconds = state.service_seconds or state.latency_seconds or usual
        return float(rng.random() ** (seconds / usual))

    return heapq.nlargest(DRAWN, states, key=lot)


def usual_seconds(states: Sequence[TargetState]) -> float:
    """Gives how long a request takes without a queue, over all targets.

    Args:
        states: The targets of a service.
    """
    known = [one.service_seconds or one.latency_seconds for one in states]
    found = [seconds for seconds in known if seconds is not None]
    return sum(found) / len(found) if found else UNKNOWN_SERVICE_SECONDS


def expected_wait(state: TargetState, usual: float) -> float:
    """Gives how long a request is expected to wait for a slot at a target.

    Args:
        state: The target.
        usual: What to take where the target has not answered yet.
    """
    seconds = state.service_seconds or state.latency_seconds or usual
    capacity = max(1, state.entry.capacity)
    queued = state.in_flight + state.remote_in_flight + 1.0 - capacity
    return max(0.0, queued) * seconds * state.cold_factor / capacity


def expected_seconds(state: TargetState, usual: float) -> float:
    """Gives how long a request is expected to take at a target.

    Args:
        state: The target.
        usual: What to take where the target has not answered yet.
    """
    known = state.service_seconds or state.latency_seconds
    if known is None and not state.in_flight:
        return UNTRIED_SHARE * usual
    seconds = known or usual
    capacity = max(1, state.entry.capacity)
    present = state.in_flight + state.remote_in_flight
    waiting = max(1.0, (present + 1.0) / capacity)
    expected = seconds * state.cold_factor * waiting
    # Even below its capacity a target that has less to do answers sooner.
    return expected * (1.0 + 0.1 * present / capacity)
