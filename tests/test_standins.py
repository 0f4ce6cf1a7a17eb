from __future__ import annotations

import aiohttp
import msgspec
import pytest

from balsamway.servers.orders import GrantedRange, GrantOrder, ServerState, SurveyOrder
from balsamway.slices import POSITION_END, KeyRange, ShardId
from balsamway.standins.journal import Journal, RunOutcome
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.standins.server import RunTimes, ServerSettings, ServerStandin

SHARD = ShardId("m", "s")
ALL = KeyRange(0, POSITION_END)


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def platform():
    async with PlatformStandin(PlatformSettings()) as standin:
        yield standin


def server_settings(**changes):
    return ServerSettings(
        name="s1",
        zone="a",
        member="m",
        service="s",
        run_times=RunTimes(0.001),
        **changes,
    )


@pytest.fixture
async def server():
    async with ServerStandin(server_settings()) as standin:
        yield standin


async def put(session, platform, version, body):
    condition = (
        {"If-None-Match": "*"} if version is None else {"If-Match": str(version)}
    )
    async with session.put(
        f"{platform.url}/objects/a/b", data=body, headers=condition
    ) as answer:
        return answer.status, int(answer.headers.get("Balsamway-Version", 0))


async def order(session, server, verb, body):
    async with session.post(
        f"{server.url}/control/{verb}", data=msgspec.json.encode(body)
    ) as answer:
        return answer.status, await answer.read()


async def survey(session, server, epoch):
    status, body = await order(session, server, "survey", SurveyOrder(SHARD, epoch))
    assert status == 200
    return msgspec.json.decode(body, type=ServerState)


async def grant(session, server, epoch=1, seconds=5.0, generation=1):
    clock = (await survey(session, server, epoch)).clock
    ranges = (GrantedRange(ALL, 7),)
    return await order(
        session,
        server,
        "grant",
        GrantOrder(SHARD, epoch, ranges, clock + seconds, generation),
    )


def request_headers(request_id="r1", epoch=7, timeout_ms=1000):
    return {
        "Balsamway-Member": "m",
        "Balsamway-Request-Id": request_id,
        "Balsamway-Timeout-Ms": str(timeout_ms),
        "Balsamway-Key": "k",
        "Balsamway-Shard": str(SHARD),
        "Balsamway-Epoch": str(epoch),
    }


async def send(session, server, **parts):
    async with session.post(
        f"{server.url}/requests/s/x", data=b"body", headers=request_headers(**parts)
    ) as answer:
        await answer.read()
        return answer


async def test_the_platform_updates_only_the_expected_version(session, platform):
    status, first = await put(session, platform, None, b"1")
    assert status == 200
    assert (await put(session, platform, None, b"2")) == (412, first)
    status, second = await put(session, platform, first, b"3")
    assert status == 200 and second > first
    assert platform.counts.writes == 3


async def test_a_watch_answers_when_the_object_changes(session, platform):
    _, first = await put(session, platform, None, b"1")
    url = f"{platform.url}/objects/a/b?watch=0&timeout=5"
    async with session.get(url) as answer:
        assert await answer.read() == b"1"
        assert int(answer.headers["Balsamway-Version"]) == first


async def test_a_lost_answer_leaves_the_update_in_effect(session, platform):
    async with session.post(
        f"{platform.url}/standin/faults", json={"lose_answers": True}
    ) as answer:
        assert answer.status == 200
    with pytest.raises(aiohttp.ClientError):
        await put(session, platform, None, b"1")
    async with session.get(f"{platform.url}/objects/a/b") as answer:
        assert await answer.read() == b"1"


async def test_an_outage_refuses_and_counts(session, platform):
    await session.post(f"{platform.url}/standin/faults", json={"outage": True})
    assert (await put(session, platform, None, b"1"))[0] == 503
    assert platform.counts.refused == 1


async def test_a_server_runs_only_under_its_grant(session, server):
    refused = await send(session, server, request_id="r0")
    assert refused.headers["Balsamway-Verdict"] == "not-run"
    assert refused.headers["Balsamway-Reason"] == "grant-lapsed"
    assert (await grant(session, server))[0] == 200
    answer = await send(session, server)
    assert answer.headers["Balsamway-Verdict"] == "completed"
    wrong = await send(session, server, request_id="r2", epoch=6)
    assert wrong.headers["Balsamway-Reason"] == "wrong-epoch"
    outcomes = [run.outcome for run in server.journal.runs]
    assert outcomes == [RunOutcome.REFUSED, RunOutcome.APPLIED, RunOutcome.REFUSED]


async def test_a_server_refuses_an_older_leader(session, server):
    await grant(session, server, epoch=5)
    status, _ = await order(session, server, "survey", SurveyOrder(SHARD, 4))
    assert status == 409


async def test_a_leaving_server_says_so_and_drains(session, server):
    await grant(session, server, seconds=0.05)
    async with session.post(f"{server.url}/standin/leave") as answer:
        assert answer.status == 200
    assert (await survey(session, server, 1)).leaving
    await server.wait_drained()
    assert [stop.server for stop in server.journal.stops] == ["s1"]


async def test_connections_beyond_the_limit_are_refused(session):
    settings = server_settings(connection_limit=1)
    async with ServerStandin(settings) as server:
        await survey(session, server, 1)
        async with aiohttp.ClientSession() as second:
            with pytest.raises(aiohttp.ClientError):
                await second.get(f"{server.url}/health")
        assert server.refused_connections >= 1


async def test_the_journal_is_read_over_http(session, server):
    await grant(session, server)
    await send(session, server)
    async with session.get(f"{server.url}/standin/journal") as answer:
        journal = msgspec.json.decode(await answer.read(), type=Journal)
    assert journal == server.journal
    assert journal.grants[0].range == ALL
