from __future__ import annotations

import asyncio
import logging
import random

import pytest

from balsamway.ownership.messages import LeaderQuery, LeaderQueryAnswer, PromiseRequest
from balsamway.peers._framing import MAX_FRAME_BYTES
from balsamway.peers.peers import PeerFailure
from balsamway.peers.stream_peers import StreamPeers
from balsamway.peers.unhandled import Unhandled
from balsamway.slices import ShardId

SHARD = ShardId("m", "s")


@pytest.fixture
async def pair():
    addresses = {}
    hosts = [
        StreamPeers(name, 1, "127.0.0.1:0", addresses.get, random.Random(1))
        for name in ("a", "b")
    ]
    for name, host in zip(("a", "b"), hosts, strict=True):
        await host.start()
        addresses[name] = host.address
    yield hosts
    for host in hosts:
        await host.stop()


async def test_calls_are_matched_with_their_answers(pair):
    first, second = pair

    async def on_leader_query(sender, query):
        await asyncio.sleep(0.01 * (5 - query.shard.index))
        return LeaderQueryAnswer(query.shard.index, 0.0, 1)

    second.register_handler(LeaderQuery, on_leader_query)
    shards = [ShardId("m", "s", index) for index in range(5)]
    calls = (first.call("b", LeaderQuery(shard), 2.0) for shard in shards)
    answers = await asyncio.gather(*calls)
    assert [answer.epoch for answer in answers] == list(range(5))


async def test_a_host_calls_itself_without_a_stream(pair):
    async def on_leader_query(sender, query):
        return LeaderQueryAnswer(7, 0.0, 1)

    pair[0].register_handler(LeaderQuery, on_leader_query)
    assert (await pair[0].call("a", LeaderQuery(SHARD), 1.0)).epoch == 7


async def test_a_failing_handler_harms_no_other_call(pair):
    first, second = pair

    async def on_leader_query(sender, query):
        if query.shard.index == 0:
            raise RuntimeError("broken")
        return LeaderQueryAnswer(3, 0.0, 1)

    second.register_handler(LeaderQuery, on_leader_query)
    failed = await first.call("b", LeaderQuery(ShardId("m", "s", 0)), 2.0)
    assert failed == PeerFailure("handler failed: RuntimeError")
    assert (await first.call("b", LeaderQuery(ShardId("m", "s", 1)), 2.0)).epoch == 3


async def test_a_message_without_handler_is_a_failure(pair):
    failed = await pair[0].call("b", LeaderQuery(SHARD), 2.0)
    assert failed == PeerFailure("no handler for LeaderQuery")


async def test_an_unknown_peer_times_out(pair):
    failed = await pair[0].call("nobody", LeaderQuery(SHARD), 0.05)
    assert failed == PeerFailure("timeout")


async def test_a_call_fails_when_the_peer_stops(pair):
    first, second = pair

    async def on_leader_query(sender, query):
        await asyncio.sleep(30)

    second.register_handler(LeaderQuery, on_leader_query)
    call = asyncio.create_task(first.call("b", LeaderQuery(SHARD), 10.0))
    await asyncio.sleep(0.1)
    await second.stop()
    assert isinstance(await call, PeerFailure)


async def test_garbage_on_the_port_harms_nobody(pair):
    first, second = pair

    async def on_leader_query(sender, query):
        return LeaderQueryAnswer(3, 0.0, 1)

    second.register_handler(LeaderQuery, on_leader_query)
    ip, _, port = second.address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"GET / HTTP/1.1\r\n\r\n\xc1\xc1\xc1")
    await asyncio.wait_for(reader.read(), 2.0)
    writer.close()
    assert (await first.call("b", LeaderQuery(SHARD), 2.0)).epoch == 3


def test_a_second_handler_for_a_class_is_an_error():
    peers = StreamPeers("a", 1, "127.0.0.1:0", {}.get, random.Random(1))

    async def handler(sender, message):
        return None

    peers.register_handler(PromiseRequest, handler)
    with pytest.raises(ValueError, match="already has a handler"):
        peers.register_handler(PromiseRequest, handler)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:-1", "x:y", ""])
async def test_a_peer_address_with_a_port_out_of_range_ends_no_host(pair, address):
    first, second = pair

    async def on_leader_query(sender, query):
        return LeaderQueryAnswer(3, 0.0, 1)

    second.register_handler(LeaderQuery, on_leader_query)
    good = first._address_of("b")
    addresses = {"b": good, "odd": address}
    first._address_of = addresses.get
    failure = await first.call("odd", LeaderQuery(SHARD), 0.6)
    assert failure == PeerFailure("timeout")
    assert (await first.call("b", LeaderQuery(SHARD), 2.0)).epoch == 3
    assert not first.crashed


async def test_a_message_too_large_for_a_frame_ends_no_host(pair):
    first, second = pair

    async def on_leader_query(sender, query):
        if query.shard.index == 0:
            return Unhandled("x" * (MAX_FRAME_BYTES + 1))
        return LeaderQueryAnswer(3, 0.0, 1)

    second.register_handler(LeaderQuery, on_leader_query)
    too_large = await first.call("b", LeaderQuery(ShardId("m", "s", 0)), 2.0)
    assert isinstance(too_large, PeerFailure)
    assert (await first.call("b", LeaderQuery(ShardId("m", "s", 1)), 2.0)).epoch == 3
    assert not first.crashed


async def test_a_call_too_large_for_a_frame_ends_no_stream_of_others(pair, caplog):
    caplog.set_level(logging.INFO)
    first, second = pair

    async def on_leader_query(sender, query):
        return LeaderQueryAnswer(3, 0.0, 1)

    second.register_handler(LeaderQuery, on_leader_query)
    query = LeaderQuery(ShardId("m" * (MAX_FRAME_BYTES + 1), "s", 0))
    assert isinstance(await first.call("b", query, 2.0), PeerFailure)
    assert (await first.call("b", LeaderQuery(SHARD), 2.0)).epoch == 3
    assert "peer stream broken" in caplog.messages
