"""Chooses which target of a service has room for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from balsamway.forwarding.target_state import TargetState
    from balsamway.forwarding.work_separation import TargetPreference


def targets_with_room(
    states: Sequence[TargetState],
    tried: Collection[str],
    is_repeatable: bool,
    rng: random.Random,
    preference: TargetPreference | None = None,
) -> list[TargetState]:
    """Return the targets that a request may be sent to.

    The counts of other hosts are old. If every host sent to the targets that
    seem to have the most room, all would send to the same ones until the next
    notice, and those would overflow. So while targets are nearly full, one is
    drawn in proportion to its speed and its free fraction, and requests are
    refused gradually.

    Args:
        states: The targets of the service that may receive requests.
        tried: The names of the targets that the request was sent to already.
        is_repeatable: Whether the request may be sent again after a reset.
        rng: Draws whether the request is refused, and the target.
        preference: Which targets suit the request; None if all do.

    Returns:
        All targets if none is nearly full, otherwise the one that was drawn;
        empty if the request is to be refused.
    """
    untried = [state for state in states if state.entry.name not in tried]
    fractions = [state.room_fraction(is_repeatable) for state in untried]
    if all(fraction >= 1.0 for fraction in fractions):
        return untried
    speeds = [state.completions_per_second for state in untried]
    weights = [
        speed * fraction for speed, fraction in zip(speeds, fractions, strict=True)
    ]
    if rng.random() * sum(speeds) >= sum(weights):
        return []
    usable = [
        0.0 if state.is_in_backoff or not state.pool.has_room else weight
        for state, weight in zip(untried, weights, strict=True)
    ]
    suited = [
        weight if preference is None or preference.suits(state.position) else 0.0
        for state, weight in zip(untried, usable, strict=True)
    ]
    chances = next((some for some in (suited, usable) if any(some)), weights)
    return rng.choices(untried, chances)
