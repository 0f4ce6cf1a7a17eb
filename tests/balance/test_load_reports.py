from __future__ import annotations

import asyncio

import pytest

from balsamway.balance import LoadRecorder, LoadReporter, LoadTable
from balsamway.slices import ShardId
from tests.balance.conftest import even_ranges

SHARD = ShardId("m", "s")


class BalancePeers:
    """Records what is sent, and keeps the one handler."""

    def __init__(self):
        self.sent = []
        self.handler = None

    def handle(self, message_type, handler):
        self.handler = handler

    def send(self, host, message):
        self.sent.append((host, message))


class BalanceDirectory:
    """Knows one leader, or none."""

    def __init__(self):
        self.leader = "leader"

    def leader_of(self, shard):
        return self.leader


class BalanceSlices:
    """Knows the slices of every shard."""

    def ranges_of(self, shard):
        return tuple(even_ranges(4))


@pytest.fixture
def peers():
    return BalancePeers()


@pytest.fixture
def directory():
    return BalanceDirectory()


@pytest.mark.looptime
async def test_a_report_goes_to_the_leader_every_second(peers, directory):
    recorder = LoadRecorder()
    recorder.record(SHARD, 1, 0.5)
    async with LoadReporter(recorder, BalanceSlices(), directory, peers) as reporter:
        await asyncio.sleep(3.5)
        assert [host for host, _ in peers.sent] == ["leader"] * 3
        assert peers.sent[0][1].ranges[0].busy_seconds == 0.5
        assert reporter.dump()["sent"] == 3


@pytest.mark.looptime
async def test_without_a_leader_reports_are_dropped(peers, directory):
    recorder = LoadRecorder()
    recorder.record(SHARD, 1, 0.5)
    directory.leader = None
    async with LoadReporter(recorder, BalanceSlices(), directory, peers) as reporter:
        await asyncio.sleep(1.5)
        assert peers.sent == []
        assert reporter.dump()["unsent"] == 1


@pytest.mark.looptime
async def test_the_table_merges_what_the_gateways_sent(peers):
    table = LoadTable(peers)
    ranges = even_ranges(4)
    recorder = LoadRecorder()
    for _ in range(40):
        for gateway in ("a", "b"):
            recorder.record(SHARD, ranges[2].start, 0.25)
            await peers.handler(gateway, recorder.take(SHARD, 1.0, ranges))
        await asyncio.sleep(1.0)
    loads = table.slice_loads(SHARD, ranges)
    assert loads[2].load == pytest.approx(0.5, rel=0.05)
    assert table.hot_keys(SHARD)[0].position == ranges[2].start
    assert table.slice_loads(ShardId("m", "other"), ranges) == ()
