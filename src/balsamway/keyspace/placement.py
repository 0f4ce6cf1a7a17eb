"""Plans which keys of a service move to which targets.

It is made for a load in which a few keys are far busier than the others. Busy
keys lie close together, and which keys are busy changes within seconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from balsamway.keyspace._load_range import LoadRange
from balsamway.keyspace.key_record import KEY_COUNT
from balsamway.keyspace.load_aggregator import RATE_WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from balsamway.keyspace.segment import Segment
    from balsamway.keyspace.target_incarnation import TargetIncarnation
    from balsamway.keyspace.target_speed import TargetSpeed

PRIOR_REQUESTS_PER_SECOND = 5.0
"""The least prior load in requests per second. It is spread evenly over all
keys and added to the measured load, so that keys without requests are spread
over the targets as well."""
PRIOR_FRACTION = 0.1
"""The least prior load, as a fraction of the measured load."""
TOLERANCE_FRACTION = 0.25
"""How far a target's load may be from its fair share before keys move, as a
fraction of the share."""
NOISE_DEVIATIONS = 2.0
"""How many standard deviations of noise are tolerated beside that."""
MIN_MOVE_FRACTION = 0.04
"""The least load of a move, as a fraction of the mean load of a target."""
MIN_MAX_MOVES = 16
"""The most ranges that one plan moves to balance the load of few targets."""
MAX_MOVES_PER_TARGET = 0.25
"""The same for many targets, per target. In a large service more keys than it
has targets can become busy at once."""
INITIAL_LOAD_FRACTION = 0.25
"""The load that a target without load gets at first, as a fraction of the mean
load of a target. Each target also gets about that much at a time of the keys
of a target that left."""
HOT_KEY_FRACTION = 0.3
"""A key with at least this fraction of the mean load of a target is a range of
its own."""
MIN_SPEED_RATIO = 1.5
"""A dominant key moves to another target if that is faster by this factor."""
MIN_MAX_SEGMENTS = 400
"""The number of segments, with few targets, beyond which nothing is split."""
MAX_SEGMENTS_PER_TARGET = 3.5
"""The same for many targets, per target. Each has a range of its own, and keys
that were busy before stay segments."""


def split_by_speed(
    targets: Sequence[TargetSpeed],
) -> list[tuple[int, int, TargetIncarnation]]:
    """Split all keys over targets by speed, before any load is known.

    Args:
        targets: The targets, at least one.

    Returns:
        The first key, the last key and the owner of each part.
    """
    total = sum(target.speed for target in targets)
    parts: list[tuple[int, int, TargetIncarnation]] = []
    first = 0
    reached = 0.0
    for index, target in enumerate(targets):
        reached += target.speed
        is_last = index == len(targets) - 1
        last = KEY_COUNT - 1 if is_last else int(KEY_COUNT * reached / total) - 1
        if last >= first:
            parts.append((first, last, target.owner))
            first = last + 1
    return parts


class Placement:
    """Plans the moves of one service's keys from its segments and key rates.

    Each target has a fair share of the load by its speed. Keys move from the
    target with the largest surplus to the one with the largest deficit.
    """

    def __init__(
        self,
        segments: Sequence[Segment],
        rates: Mapping[int, float],
        targets: Sequence[TargetSpeed],
        rate_window_seconds: float = RATE_WINDOW_SECONDS,
    ) -> None:
        """Compute the load of each target.

        Args:
            segments: The segments in force.
            rates: The requests per second of each key that has any.
            targets: The targets that may own keys, with their speeds.
            rate_window_seconds: The time over which the rates were counted.
                It determines how much they vary by chance.
        """
        self._rate_window_seconds = rate_window_seconds
        self._targets = {target.owner: target for target in targets}
        total = sum(rates.values())
        prior = max(PRIOR_REQUESTS_PER_SECOND, PRIOR_FRACTION * total)
        self._prior_per_key = prior / KEY_COUNT
        self._total = total + prior
        self._ranges: dict[TargetIncarnation, list[LoadRange]] = defaultdict(list)
        self._loads: dict[TargetIncarnation, float] = defaultdict(float)
        keys = sorted(rates)
        next_index = 0
        self._unassigned: list[LoadRange] = []
        for segment in segments:
            begin = next_index
            while next_index < len(keys) and keys[next_index] <= segment.last:
                next_index += 1
            key_rates = [(key, rates[key]) for key in keys[begin:next_index]]
            load_range = LoadRange(
                segment.first, segment.last, key_rates, self._prior_per_key
            )
            if segment.owner not in self._targets:
                self._unassigned.append(load_range)
                continue
            for part in load_range.split_out_busy(
                HOT_KEY_FRACTION * self._total / len(targets)
            ):
                part.is_settled = not segment.previous_owners
                self._add_range(segment.owner, part)
        self._segment_count = len(segments)
        self._moves: dict[tuple[int, int], TargetIncarnation] = {}
        self._reserved: dict[TargetIncarnation, float] = {}
        """The load of the dominant key of each target that serves only it."""
        self._shared_speed = sum(target.speed for target in targets)
        """The sum of the speeds of the targets that are not reserved."""
        self._shared_load = self._total
        """The load that these targets share."""
        self._max_segments = max(
            MIN_MAX_SEGMENTS, int(MAX_SEGMENTS_PER_TARGET * len(targets))
        )
        self._max_moves = max(MIN_MAX_MOVES, int(MAX_MOVES_PER_TARGET * len(targets)))

    def plan(
        self, may_balance: bool = True
    ) -> dict[tuple[int, int], TargetIncarnation]:
        """Plan the moves that are worth making now.

        Args:
            may_balance: Whether to move keys between available targets as
                well.

        Returns:
            The new owner of each range of keys to move.
        """
        if not self._targets:
            return {}
        for load_range in sorted(
            self._unassigned, key=lambda unassigned: -unassigned.load
        ):
            self._assign(load_range)
        if may_balance:
            self._reserve_targets()
        while may_balance and len(self._moves) < self._max_moves and self._balance():
            pass
        return self._moves

    def _reserve_targets(self) -> None:
        """Reserve a target for each dominant key that alone fills one."""
        hot = [
            (load_range, owner)
            for owner, ranges in self._ranges.items()
            for load_range in ranges
            if load_range.first == load_range.last and load_range.is_settled
        ]
        for load_range, owner in sorted(hot, key=lambda entry: -entry[0].load):
            free = [target for target in self._targets if target not in self._reserved]
            if len(free) < 2 or len(self._reserved) >= len(self._targets) // 2:
                return
            fastest = max(free, key=lambda target: self._targets[target].speed)
            if load_range.load < self._fair_share(fastest):
                continue
            reserved = owner if owner in free else fastest
            if (
                self._targets[fastest].speed
                > MIN_SPEED_RATIO * self._targets[reserved].speed
            ):
                reserved = fastest
            self._reserved[reserved] = load_range.load
            self._shared_speed -= self._targets[reserved].speed
            self._shared_load -= load_range.load
            if reserved != owner:
                self._ranges[owner].remove(load_range)
                self._move(load_range, owner, reserved)
            else:
                load_range.is_settled = False

    def _move(
        self,
        load_range: LoadRange,
        source: TargetIncarnation,
        destination: TargetIncarnation,
    ) -> None:
        self._moves[(load_range.first, load_range.last)] = destination
        self._loads[source] -= load_range.load
        self._loads[destination] += load_range.load

    def _fair_share(self, owner: TargetIncarnation) -> float:
        """Return a target's share of the load, in requests per second."""
        if owner in self._reserved:
            return self._reserved[owner]
        share = self._targets[owner].speed / self._shared_speed
        return max(0.0, self._shared_load) * share

    def _surplus(self, owner: TargetIncarnation) -> float:
        """Return a target's load above its fair share; negative below it."""
        return self._loads[owner] - self._fair_share(owner)

    def _tolerance(self, owner: TargetIncarnation) -> float:
        """Return how far a target's load may be from its fair share."""
        if owner in self._reserved:
            return MIN_MOVE_FRACTION * self._total / len(self._targets)
        fair_share = self._fair_share(owner)
        noise = NOISE_DEVIATIONS * math.sqrt(
            max(fair_share, 1.0) / self._rate_window_seconds
        )
        return TOLERANCE_FRACTION * fair_share + noise

    def _add_range(self, owner: TargetIncarnation, load_range: LoadRange) -> None:
        self._ranges[owner].append(load_range)
        self._loads[owner] += load_range.load

    def _assign(self, load_range: LoadRange) -> None:
        """Assign a range whose owner is no longer available."""
        rest: LoadRange | None = load_range
        while rest is not None:
            destination = min(self._targets, key=self._surplus)
            room = -self._surplus(destination)
            mean = self._total / len(self._targets)
            if rest.load > room + INITIAL_LOAD_FRACTION * mean and self._may_split():
                part, rest = rest.split(max(room, INITIAL_LOAD_FRACTION * mean))
            else:
                part, rest = rest, None
            self._moves[(part.first, part.last)] = destination
            self._loads[destination] += part.load

    def _may_split(self) -> bool:
        """Count one more segment, and return whether the limit allows it."""
        self._segment_count += 1
        return self._segment_count <= self._max_segments

    def _balance(self) -> bool:
        """Plan the move of one range, if that is worth it.

        Returns:
            Whether a move was planned.
        """
        source = max(self._targets, key=self._surplus)
        destination = min(self._targets, key=self._surplus)
        surplus, deficit = self._surplus(source), -self._surplus(destination)
        has_no_load = not self._loads[destination]
        is_even = surplus < self._tolerance(source) and deficit < self._tolerance(
            destination
        )
        if is_even and not has_no_load:
            return False
        amount = min(surplus, deficit)
        mean = self._total / len(self._targets)
        if has_no_load:
            amount = max(amount, min(deficit, INITIAL_LOAD_FRACTION * mean))
        if amount < MIN_MOVE_FRACTION * mean:
            return False
        part = self._take_load(source, amount)
        if part is None:
            return False
        self._move(part, source, destination)
        return True

    def _take_load(self, source: TargetIncarnation, amount: float) -> LoadRange | None:
        """Remove and return a range of about a given load from a target.

        Args:
            source: The target.
            amount: The wanted load, in requests per second.

        Returns:
            The range, or None if no range comes close enough to the amount.
        """
        ranges = [
            candidate for candidate in self._ranges[source] if candidate.is_settled
        ]
        whole = [
            candidate
            for candidate in ranges
            if 0.6 * amount <= candidate.load <= 1.1 * amount
        ]
        if whole:
            found = max(whole, key=lambda candidate: candidate.density)
            self._ranges[source].remove(found)
            return found
        larger = [
            candidate
            for candidate in ranges
            if candidate.load > amount and candidate.first < candidate.last
        ]
        if larger and self._may_split():
            found = max(larger, key=lambda candidate: candidate.density)
            part, rest = found.split_densest(amount)
            if rest is None or part.load > 1.5 * amount:
                return None
            self._ranges[source].remove(found)
            self._ranges[source].append(rest)
            return part
        smaller = [candidate for candidate in ranges if candidate.load <= amount]
        if not smaller:
            return None
        found = max(smaller, key=lambda candidate: candidate.load)
        if found.load < 0.25 * amount:
            return None
        self._ranges[source].remove(found)
        return found
