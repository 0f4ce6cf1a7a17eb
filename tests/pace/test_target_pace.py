"""Plays the pace of a target that starts or recovers.

Each test names the load that it guards against. The model runs 4 requests at a
time in 0.16 s, queues 16 and refuses the rest; twice what it serves is asked.
"""

from __future__ import annotations

import pytest

from balsamway.pace import Interval, TargetPace
from tests.fakes.paced_model import FULL_RATE, ModelTarget, play_pace

HOSTS = [1, 12, 195]


# Load: all hosts send to a target that has just started.
@pytest.mark.parametrize("hosts", HOSTS)
def test_a_target_that_starts_gets_its_full_load_without_overload(hosts):
    played = play_pace(ModelTarget(), 4.0, hosts, demand=0.9 * FULL_RATE)
    assert played.full_after() <= 3.0
    assert played.overflow == 0


# Load: a target that became twice as fast is given no less than before.
@pytest.mark.parametrize("hosts", HOSTS)
def test_a_target_that_doubles_its_speed_is_used_in_full(hosts):
    target = ModelTarget(speed_at=lambda time: 2.0)
    played = play_pace(target, 8.0, hosts)
    assert played.overflow == 0
    assert played.served_between(6.0, 8.0) >= 1.7 * FULL_RATE * 2.0


# Load: a target that became half as fast while it starts.
@pytest.mark.parametrize("hosts", HOSTS)
def test_a_target_that_halves_its_speed_gets_about_what_it_serves(hosts):
    target = ModelTarget(speed_at=lambda time: 0.5)
    played = play_pace(target, 12.0, hosts, demand=FULL_RATE)
    assert played.served_between(6.0, 12.0) >= 0.6 * 0.5 * FULL_RATE * 6.0
    assert played.overflow <= 0.15 * played.served


# Load: a target that alternates between its usual and half of it.
@pytest.mark.parametrize("hosts", HOSTS)
def test_a_target_that_alternates_every_1_4_s_stays_in_use(hosts):
    target = ModelTarget(speed_at=lambda time: 1.0 if time % 2.8 < 1.4 else 0.5)
    played = play_pace(target, 14.0, hosts, demand=FULL_RATE)
    mean_rate = 0.75 * FULL_RATE
    assert played.served_between(7.0, 14.0) >= 0.5 * mean_rate * 7.0
    assert played.overflow <= 0.15 * played.served


# Load: a target that is away and comes back gets the first pace, not the last.
@pytest.mark.parametrize("hosts", HOSTS)
def test_a_target_that_comes_back_begins_at_the_first_pace(hosts):
    pace = TargetPace(4, 0.16)
    pace.observe(Interval(unreachable=hosts), 1.0)
    assert pace.requests_per_second == pytest.approx(0.25 * FULL_RATE)
    pace.observe(Interval(answered=5, answered_seconds=0.8), 1.4)
    assert 0.25 * FULL_RATE < pace.requests_per_second < FULL_RATE


# Load: a host that is cut off from a target that serves all others.
def test_hosts_that_are_cut_off_do_not_begin_a_pace():
    pace = TargetPace(4, 0.16)
    pace.observe(Interval(answered=5, answered_seconds=0.8, unreachable=9), 1.0)
    assert pace.requests_per_second is None


# Load: requests that fail at once, which look like a fast target.
@pytest.mark.parametrize("hosts", HOSTS)
def test_fast_failures_do_not_raise_the_pace(hosts):
    target = ModelTarget(fails_at=lambda time: True)
    played = play_pace(target, 4.0, hosts)
    rates = [rate for _, rate, _ in played.rates]
    assert max(rates) <= 0.25 * FULL_RATE
    assert rates[-1] <= 0.15 * FULL_RATE


# Load: a target that answers what exceeds its queue at once, as if served.
def test_false_answers_do_not_raise_the_pace_beyond_the_full_rate():
    target = ModelTarget(lies_at=lambda time: True, speed_at=lambda time: 0.5)
    played = play_pace(target, 1.5)
    assert max(rate for _, rate, _ in played.rates) <= FULL_RATE


# Load: noise of 3 times for 400 ms, which a fifth of the targets have.
def test_short_noise_does_not_lower_the_pace():
    pace = TargetPace(4, 0.16)
    pace.begin(0.0)
    pace.observe(Interval(3, 3 * 0.48), 0.2)
    pace.observe(Interval(3, 3 * 0.48), 0.4)
    assert pace.requests_per_second == pytest.approx(0.25 * FULL_RATE)
    pace.observe(Interval(3, 3 * 0.16), 0.6)
    assert pace.requests_per_second > 0.25 * FULL_RATE


# Load: hosts continue while no host issues the pace.
@pytest.mark.parametrize("hosts", HOSTS)
def test_the_pace_does_not_rise_while_no_host_issues_it(hosts):
    played = play_pace(ModelTarget(), 6.0, hosts, lost=(1.0, 4.0))
    during = {rate for at, rate, _ in played.rates if 1.0 <= at < 4.0}
    assert len(during) == 1
    assert played.rates[-1][1] >= 0.9 * FULL_RATE


# Load: none; the tokens of a target that keeps its usual would cost for ever.
@pytest.mark.parametrize("hosts", HOSTS)
def test_the_pace_ends_once_the_target_keeps_its_usual(hosts):
    played = play_pace(ModelTarget(), 9.0, hosts, demand=0.8 * FULL_RATE)
    pace = TargetPace(4, 0.16)
    pace.begin(0.0)
    for number in range(1, 41):
        pace.observe(Interval(4, 4 * 0.16), 0.2 * number)
    assert pace.requests_per_second is None
    assert played.overflow == 0


# Load: a lead that changes; the pace would begin anew or end.
def test_a_new_leader_continues_the_pace_of_the_earlier_one():
    pace = TargetPace(4, 0.16)
    pace.begin(0.0, requests_per_second=14.0)
    assert pace.requests_per_second == 14.0


# Guards against targets that are all limited when traffic begins, because they
# registered after the hosts had started.
async def test_a_pace_that_nobody_uses_ends():
    pace = TargetPace(4, 0.15)
    pace.begin(0.0)
    for step in range(1, 5):
        pace.observe(Interval(), float(step))
        assert pace.requests_per_second is not None
    pace.observe(Interval(), 4.5)
    assert pace.requests_per_second is None
