from __future__ import annotations

import asyncio
import signal

import pytest

from balsamway.standins.checker import check
from tests.process_deployment import ProcessDeployment

pytestmark = pytest.mark.processes

SERVED_AGAIN_SECONDS = 5.0
PAUSE_SECONDS = 4.0


@pytest.fixture
async def deployment(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    try:
        await deployment.start()
        yield deployment
    finally:
        await deployment.stop()


def others(name):
    return [f"entry-{n}" for n in (1, 2, 3) if f"entry-{n}" != name]


def verdicts(told):
    return {str(one.verdict) for one in told}


async def test_a_terminated_daemon_cuts_off_no_request(deployment):
    leader = await deployment.leader()
    calls = asyncio.create_task(deployment.call_for(3.0, [leader], 1))
    await asyncio.sleep(1.5)
    deployment.signal(leader, signal.SIGTERM)
    assert await deployment.wait_exit(leader) == 0
    told = await calls
    assert "completed" in verdicts(told)
    assert verdicts(told) <= {"completed", "not-run", "unreached"}
    assert check(deployment.journal()) == ()


async def test_a_killed_leader_is_replaced_in_time(deployment):
    leader = await deployment.leader_with_witnesses()
    deployment.signal(leader, signal.SIGKILL)
    before = await deployment.call_for(SERVED_AGAIN_SECONDS, others(leader), 2)
    after = await deployment.call_for(2.0, others(leader), 3)
    assert verdicts(after) == {"completed"}
    assert verdicts(before) <= {"completed", "not-run"}
    deployment.start_daemon(leader)
    await deployment.until(lambda: deployment.is_ready(leader))
    assert verdicts(await deployment.call_for(1.0, [leader], 4)) == {"completed"}
    assert check(deployment.journal()) == ()


async def test_a_leader_that_is_paused_and_returns_does_no_harm(deployment):
    leader = await deployment.leader_with_witnesses()
    calls = asyncio.create_task(deployment.call_for(8.0, [leader], 5))
    await asyncio.sleep(1.0)
    deployment.signal(leader, signal.SIGSTOP)
    await deployment.call_for(PAUSE_SECONDS, others(leader), 6)
    deployment.signal(leader, signal.SIGCONT)
    await calls
    await asyncio.sleep(1.0)
    assert verdicts(await deployment.call_for(1.0, [leader], 7)) == {"completed"}
    assert verdicts(await deployment.call_for(1.0, others(leader), 8)) == {"completed"}
    assert check(deployment.journal()) == ()
