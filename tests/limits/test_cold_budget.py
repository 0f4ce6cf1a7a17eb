"""Guards against shares of a cold target that exceed its bound together."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.clock import now
from balsamway.limits import ColdBudget
from balsamway.limits.cold_budget import GRANT_DELAY_FACTOR
from balsamway.limits.cold_share import ColdShare


@given(
    rate=st.floats(0.1, 2_000.0),
    excess=st.floats(1.0, 3.0),
    slack=st.floats(0.0, 50.0),
)
def test_the_leader_and_the_shares_together_stay_within_the_bound(rate, excess, slack):
    budget = ColdBudget(excess, slack)
    issued = math.floor(
        GRANT_DELAY_FACTOR * budget.leader_rate(rate) + budget.burst(rate) + 1e-9
    )
    allowed = math.floor(excess * rate + slack + 1e-9)
    assert issued <= max(1, allowed)
    mean = budget.share_rate(rate)
    if mean > 0:
        room = allowed - issued
        tail = sum(
            math.exp(k * math.log(mean) - math.lgamma(k + 1) - mean)
            for k in range(room + 1, room + 200)
        )
        assert tail <= 1.001e-6


def test_the_rate_of_the_deployment_is_handed_out_in_full():
    assert ColdBudget(1.5, 8.0).leader_rate(6.9) == pytest.approx(6.9)


@pytest.mark.looptime
@pytest.mark.parametrize("host_count", [1, 12, 71, 195])
async def test_the_first_requests_of_idle_hosts_are_no_burst(host_count):
    budget = ColdBudget()
    rng = random.Random(7)
    admitted = 0
    rounds = 2_000
    for _ in range(rounds):
        shares = [ColdShare(budget, rng) for _ in range(host_count)]
        for share in shares:
            admission = share.take(("i", 1), 6.9, host_count)
            admitted += type(admission).__name__ == "Admitted"
    assert now() >= 0
    assert admitted / rounds <= 0.15 * budget.share_rate(6.9)
