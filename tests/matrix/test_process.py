from __future__ import annotations

import asyncio

import pytest

from tests.matrix.process import Process
from tests.matrix.process_loop import ProcessLoop


@pytest.fixture
def run():
    loop = ProcessLoop(start=0.0)
    try:
        yield loop.run_until_complete
    finally:
        loop.close()


async def _record_ticks(tick_times):
    while True:
        tick_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(1.0)


def test_a_paused_process_stands_still_while_the_clock_goes_on(run):
    async def scenario():
        tick_times, process = [], Process("p")
        process.start(_record_ticks(tick_times))
        await asyncio.sleep(2.5)
        process.pause()
        await asyncio.sleep(5.0)
        assert len(tick_times) == 3
        process.resume()
        await asyncio.sleep(0.1)
        assert tick_times[3:] == [7.5]
        process.lose()

    run(scenario())


def test_a_lost_process_never_runs_again(run):
    async def scenario():
        tick_times, process = [], Process("p")
        process.start(_record_ticks(tick_times))
        await asyncio.sleep(0.5)
        process.lose()
        await asyncio.sleep(5.0)
        assert len(tick_times) == 1

    run(scenario())


def test_tasks_of_a_process_belong_to_it(run):
    async def scenario():
        tick_times, process = [], Process("p")

        async def spawn():
            asyncio.create_task(_record_ticks(tick_times)).add_done_callback(print)

        await process.start(spawn())
        process.pause()
        await asyncio.sleep(3.0)
        assert len(tick_times) <= 1
        process.lose()

    run(scenario())
