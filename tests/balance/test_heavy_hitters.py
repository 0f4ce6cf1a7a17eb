from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from balsamway.balance import HeavyHitters

REQUESTS = st.lists(st.tuples(st.integers(0, 40), st.integers(1, 9)), max_size=300)


@given(REQUESTS, st.integers(1, 20))
def test_the_sketch_is_bounded_and_never_claims_too_much(requests, capacity):
    sketch = HeavyHitters(capacity)
    exact = Counter()
    for position, busy in requests:
        sketch.record(position, float(busy))
        exact[position] += busy
    assert len(sketch) <= capacity
    named = {key.position: 2 * key.busy_seconds for key in sketch.top(capacity)}
    assert all(load <= exact[position] + 1e-9 for position, load in named.items())


@given(REQUESTS, st.integers(2, 20))
def test_a_key_with_more_than_its_counter_s_share_is_counted(requests, capacity):
    sketch = HeavyHitters(capacity)
    exact = Counter()
    for position, busy in requests:
        sketch.record(position, float(busy))
        exact[position] += busy
    limit = sum(exact.values()) / capacity
    named = {key.position for key in sketch.top(capacity, at_least=-1.0)}
    assert {at for at, load in exact.items() if load > limit} <= named


def test_old_load_decays_by_half_every_interval():
    sketch = HeavyHitters(4)
    sketch.record(7, 8.0)
    before = sketch.top(1)[0].busy_seconds
    sketch.halve()
    assert sketch.top(1)[0].busy_seconds == before / 2


def test_a_steady_key_is_reported_with_its_load_of_one_interval():
    sketch = HeavyHitters(4)
    for _ in range(30):
        sketch.record(7, 3.0)
        reported = sketch.top(1)[0]
        sketch.halve()
    assert abs(reported.busy_seconds - 3.0) < 1e-6
    assert abs(reported.requests - 1.0) < 1e-6
