"""Which requests are sent after targets ended under them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamway.quarantine import Allowed, Isolated, Quarantined, SuspectTable
from balsamway.quarantine.suspect_table import (
    CERTAIN_ENDS,
    CERTAIN_QUARANTINE_SECONDS,
    MAX_SUSPECTS,
    MAX_SUSPECTS_PER_END,
    MAX_TARGET_ENDS,
    QUARANTINE_SECONDS,
    SUSPICION_SECONDS,
)

DEADLY = 1
INNOCENT = 2


def table_after(*ends):
    """Return a table with an end of a further target for each time."""
    table = SuspectTable()
    for index, (time, requests) in enumerate(ends):
        table.record((f"i-{index}", 1), requests, time)
    return table


def test_request_with_one_end_is_sent():
    table = table_after((0.0, {DEADLY}))
    assert table.decide(DEADLY, 0.1) == Allowed()


def test_request_with_two_ends_is_quarantined():
    table = table_after((0.0, {DEADLY, INNOCENT}), (1.0, {DEADLY}))
    assert table.decide(DEADLY, 1.5) == Quarantined(2, QUARANTINE_SECONDS - 0.5)
    assert table.decide(INNOCENT, 1.5) == Allowed()


def test_reports_of_several_hosts_on_one_end_count_once():
    table = SuspectTable()
    for time in (0.0, 0.001, 0.2):
        table.record(("i-1", 1), {DEADLY}, time)
    assert table.decide(DEADLY, 0.3) == Allowed()


def test_targets_that_end_together_count_once():
    """Guards against refusing what ran on several targets of a lost zone."""
    table = table_after((0.0, {INNOCENT}), (0.01, {INNOCENT}), (0.03, {INNOCENT}))
    assert table.decide(INNOCENT, 0.1) == Allowed()


def test_an_answer_ends_the_suspicion():
    table = table_after((0.0, {DEADLY}), (1.0, {DEADLY}))
    assert table.clear(DEADLY)
    assert table.decide(DEADLY, 1.1) == Allowed()
    assert not table.clear(DEADLY)


def test_quarantine_ends_and_a_third_end_prolongs_it():
    table = table_after((0.0, {DEADLY}), (1.0, {DEADLY}))
    later = 1.0 + QUARANTINE_SECONDS
    assert table.decide(DEADLY, later) == Allowed()
    table.record(("i-9", 1), {DEADLY}, later)
    assert table.decide(DEADLY, later) == Quarantined(3, CERTAIN_QUARANTINE_SECONDS)


def test_suspicion_is_forgotten_in_time():
    table = table_after((0.0, {DEADLY}))
    table.record(("i-9", 1), {INNOCENT}, SUSPICION_SECONDS + 0.1)
    table.record(("i-8", 1), {DEADLY}, SUSPICION_SECONDS + 0.2)
    assert table.decide(DEADLY, SUSPICION_SECONDS + 0.3) == Allowed()


def test_requests_that_cannot_be_told_apart_take_turns():
    """Guards against refusing the innocent that shared both ends."""
    both = {DEADLY, INNOCENT}
    table = table_after((0.0, both), (1.0, both))
    turns = {DEADLY: 0, INNOCENT: 0}
    for step in range(100):
        time = 1.0 + step * 0.05
        decisions = {request: table.decide(request, time) for request in both}
        sent = [request for request in both if decisions[request] == Allowed()]
        assert len(sent) == 1
        turns[sent[0]] += 1
        waiting = decisions[next(iter(both - set(sent)))]
        assert isinstance(waiting, Isolated)
        assert 0 < waiting.retry_after_seconds <= 0.25
    assert turns[DEADLY] > 30
    assert turns[INNOCENT] > 30


def test_an_answer_leaves_the_other_request_in_quarantine():
    both = {DEADLY, INNOCENT}
    table = table_after((0.0, both), (1.0, both))
    table.clear(INNOCENT)
    assert isinstance(table.decide(DEADLY, 1.1), Quarantined)


@pytest.mark.parametrize("count", [3000])
def test_memory_is_bounded_under_many_different_requests(count):
    table = SuspectTable()
    for index in range(count):
        requests = range(index * 1000, index * 1000 + 1000)
        table.record((f"i-{index}", 1), requests, index * 0.001)
    dump = table.dump(count * 0.001)
    assert dump["suspects"] <= MAX_SUSPECTS
    assert dump["target_ends"] <= MAX_TARGET_ENDS
    assert MAX_TARGET_ENDS * MAX_SUSPECTS_PER_END < 200_000


class NaiveTable:
    """Keeps every end and counts anew for each decision."""

    def __init__(self):
        self.ends = []

    def quarantined(self, request):
        counts = {
            other: sum(other in requests for requests in self.ends)
            for other in set().union(*self.ends)
        }
        own = counts.get(request, 0)
        last = next((ends for ends in reversed(self.ends) if request in ends), ())
        rivals = [other for other in last if counts[other] >= own]
        return own >= 3 or (own == 2 and rivals == [request])


@given(st.lists(st.frozensets(st.integers(0, 5)), max_size=12))
def test_quarantine_agrees_with_a_naive_count(ends):
    table = table_after(
        *((float(index), requests) for index, requests in enumerate(ends))
    )
    naive = NaiveTable()
    naive.ends = ends
    # No quarantine ends in this time.
    time = len(ends) - 1.0
    for request in range(6):
        last = max((i for i, e in enumerate(ends) if request in e), default=0)
        if time - last >= QUARANTINE_SECONDS:
            continue
        decision = table.decide(request, time)
        assert isinstance(decision, Quarantined) == naive.quarantined(request)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("host_count", [9, 12, 91, 195])
def test_innocents_beside_suspects_are_served(host_count, seed):
    """Targets end by themselves, by zone and by two deadly requests.

    Three targets a host run four requests each. A lost request is sent again
    to another target until it is answered.
    """
    rng = random.Random(f"{host_count}/{seed}")
    target_count = 3 * host_count
    table = SuspectTable()
    next_request = 10
    refused, sent, deadly_ends, incarnation = set(), 0, 0, 0
    waiting = []
    for step in range(300):
        time = step * 0.1
        running = []
        for _ in range(target_count):
            requests = set()
            for _ in range(4):
                if waiting and rng.random() < 0.5:
                    requests.add(waiting.pop())
                else:
                    next_request += 1
                    requests.add(next_request)
            sent += len(requests)
            running.append(requests)
        for request in (DEADLY, INNOCENT - 2):
            if rng.random() < 0.3 and table.decide(request, time) == Allowed():
                running[rng.randrange(target_count)].add(request)
        ended = {
            index
            for index, requests in enumerate(running)
            if requests & {DEADLY, INNOCENT - 2}
        }
        deadly_ends += len(ended)
        if step % 50 == 25:
            zone = rng.randrange(3)
            ended |= set(range(zone, target_count, 3))
        ended |= {index for index in range(target_count) if rng.random() < 0.002}
        for index, requests in enumerate(running):
            allowed = set()
            for request in requests:
                if isinstance(table.decide(request, time), Allowed):
                    allowed.add(request)
                else:
                    refused.add(request)
                    waiting.append(request)
            if index in ended:
                incarnation += 1
                table.record((f"i-{index}", incarnation), allowed, time)
                waiting += [request for request in allowed if request > 9]
            else:
                for request in allowed:
                    table.clear(request)
    innocents = {request for request in refused if request > 9}
    assert len(innocents) <= sent / 500
    assert deadly_ends <= 2 * CERTAIN_ENDS
