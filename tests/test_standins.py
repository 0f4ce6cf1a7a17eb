from __future__ import annotations

import aiohttp
import msgspec
import pytest

from balsamway.slices import POSITION_END, KeyRange, ShardId
from balsamway.standins.journal import Journal, RunOutcome
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.standins.target import RunTimes, TargetSettings, TargetStandin
from balsamway.targets.orders import GrantedRange, GrantOrder, GrantReport, SurveyOrder

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


def target_settings(**changes):
    return TargetSettings(
        name="s1",
        zone="a",
        workspace="m",
        service="s",
        run_times=RunTimes(0.001),
        **changes,
    )


@pytest.fixture
async def target():
    async with TargetStandin(target_settings()) as standin:
        yield standin


async def put(session, platform, version, body):
    condition = (
        {"If-None-Match": "*"} if version is None else {"If-Match": str(version)}
    )
    async with session.put(
        f"{platform.url}/objects/a/b", data=body, headers=condition
    ) as response:
        return response.status, int(response.headers.get("Balsamway-Version", 0))


async def order(session, target, verb, body):
    async with session.post(
        f"{target.url}/control/{verb}", data=msgspec.json.encode(body)
    ) as response:
        return response.status, await response.read()


async def survey(session, target, epoch):
    status, body = await order(session, target, "survey", SurveyOrder(SHARD, epoch))
    assert status == 200
    return msgspec.json.decode(body, type=GrantReport)


async def grant(session, target, epoch=1, seconds=5.0, generation=1):
    clock = (await survey(session, target, epoch)).clock
    ranges = (GrantedRange(ALL, 7),)
    return await order(
        session,
        target,
        "grant",
        GrantOrder(SHARD, epoch, ranges, clock + seconds, generation),
    )


def request_headers(request_id="r1", epoch=7, timeout_ms=1000):
    return {
        "Balsamway-Workspace": "m",
        "Balsamway-Request-Id": request_id,
        "Balsamway-Timeout-Ms": str(timeout_ms),
        "Balsamway-Key": "k",
        "Balsamway-Shard": str(SHARD),
        "Balsamway-Epoch": str(epoch),
    }


async def send(session, target, **parts):
    async with session.post(
        f"{target.url}/requests/s/x", data=b"body", headers=request_headers(**parts)
    ) as response:
        await response.read()
        return response


async def test_the_platform_updates_only_the_expected_version(session, platform):
    status, first = await put(session, platform, None, b"1")
    assert status == 200
    assert (await put(session, platform, None, b"2")) == (412, first)
    status, second = await put(session, platform, first, b"3")
    assert status == 200 and second > first
    assert platform.counts.writes == 3


async def test_a_watch_returns_when_the_object_changes(session, platform):
    _, first = await put(session, platform, None, b"1")
    url = f"{platform.url}/objects/a/b?watch=0&timeout=5"
    async with session.get(url) as response:
        assert await response.read() == b"1"
        assert int(response.headers["Balsamway-Version"]) == first


async def test_an_update_applies_although_its_response_is_lost(session, platform):
    async with session.post(
        f"{platform.url}/standin/faults", json={"lose_answers": True}
    ) as response:
        assert response.status == 200
    with pytest.raises(aiohttp.ClientError):
        await put(session, platform, None, b"1")
    async with session.get(f"{platform.url}/objects/a/b") as response:
        assert await response.read() == b"1"


async def test_an_outage_refuses_and_counts(session, platform):
    await session.post(f"{platform.url}/standin/faults", json={"outage": True})
    assert (await put(session, platform, None, b"1"))[0] == 503
    assert platform.counts.refused == 1


async def test_a_target_runs_only_under_its_grant(session, target):
    refused = await send(session, target, request_id="r0")
    assert refused.headers["Balsamway-Verdict"] == "not-run"
    assert refused.headers["Balsamway-Reason"] == "grant-lapsed"
    assert (await grant(session, target))[0] == 200
    response = await send(session, target)
    assert response.headers["Balsamway-Verdict"] == "completed"
    wrong = await send(session, target, request_id="r2", epoch=6)
    assert wrong.headers["Balsamway-Reason"] == "wrong-epoch"
    outcomes = [run.outcome for run in target.journal.runs]
    assert outcomes == [RunOutcome.REFUSED, RunOutcome.APPLIED, RunOutcome.REFUSED]


async def test_a_target_refuses_an_older_leader(session, target):
    await grant(session, target, epoch=5)
    status, _ = await order(session, target, "survey", SurveyOrder(SHARD, 4))
    assert status == 409


async def test_a_draining_target_reports_it_and_drains(session, target):
    await grant(session, target, seconds=0.05)
    async with session.post(f"{target.url}/standin/leave") as response:
        assert response.status == 200
    assert (await survey(session, target, 1)).leaving
    await target.wait_drained()
    assert [stop.target for stop in target.journal.stops] == ["s1"]


async def test_connections_beyond_the_limit_are_refused(session):
    settings = target_settings(connection_limit=1)
    async with TargetStandin(settings) as target:
        await survey(session, target, 1)
        async with aiohttp.ClientSession() as second:
            with pytest.raises(aiohttp.ClientError):
                await second.get(f"{target.url}/health")
        assert target.refused_connections >= 1


async def test_the_journal_is_read_over_http(session, target):
    await grant(session, target)
    await send(session, target)
    async with session.get(f"{target.url}/standin/journal") as response:
        journal = msgspec.json.decode(await response.read(), type=Journal)
    assert journal == target.journal
    assert journal.grants[0].range == ALL
