"""Targets that repeat the response to an earlier order."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.exchange import ConnectionPool
from balsamway.keyspace.order_result import (
    Accepted,
    OrderLost,
    Released,
    TokenOutdated,
    WrongTarget,
)
from balsamway.platform.target_control import PlatformTargetControl
from tests.fakes.scripted_target import answer

KEYS = (10, 19)
TIMEOUT_SECONDS = 0.1


def response(status=200, extra=""):
    return answer(None, b"", status, None, extra)


def released(handover):
    return response(extra=f"Balsamway-Handover: {handover}")


ACCEPTED = response()
REFUSED = response(409)
OTHER_TARGET = response(421, "Balsamway-Instance-Id: i-9")


@pytest.fixture
async def leader():
    """Return a function that creates a leader's calls to a target."""
    leaders = []

    def create(target):
        leaders.append(Leader(target))
        return leaders[-1]

    yield create
    for created in leaders:
        created.pool.abort()


class Leader:
    """Sends orders for the same keys over one pool."""

    def __init__(self, target):
        self.pool = ConnectionPool(target.address, 4)
        self._control = PlatformTargetControl()

    async def grant(self, token=1):
        return await self._control.grant(
            self.pool, "i-1", KEYS, token, 3.6, None, TIMEOUT_SECONDS, lambda: True
        )

    async def release(self, token=2):
        return await self._control.release(
            self.pool, "i-1", KEYS, token, TIMEOUT_SECONDS
        )


def responding(*responses):
    """Return a script that responds to each order in turn, or not at all."""

    async def script(received, writer, number):
        if number <= len(responses):
            writer.write(responses[number - 1])

    return script


async def test_a_repeated_release_does_not_free_keys_still_in_use(scripted, leader):
    orders = leader(await scripted(responding(released("aa"), released("aa"))))
    assert await orders.release(2) == Released("aa")
    assert isinstance(await orders.release(4), OrderLost)


async def test_a_release_repeated_after_a_grant_does_not_free_keys(scripted, leader):
    script = responding(released("aa"), ACCEPTED, released("aa"))
    orders = leader(await scripted(script))
    await orders.release(2)
    assert await orders.grant(3) == Accepted()
    assert isinstance(await orders.release(4), OrderLost)


async def test_a_repeated_acceptance_does_not_free_keys(scripted, leader):
    orders = leader(await scripted(responding(ACCEPTED, ACCEPTED)))
    assert await orders.grant() == Accepted()
    assert isinstance(await orders.release(), OrderLost)


async def test_a_repeated_release_is_not_taken_for_an_acceptance(scripted, leader):
    orders = leader(await scripted(responding(released("aa"), released("aa"))))
    await orders.release()
    assert isinstance(await orders.grant(3), OrderLost)


@pytest.mark.parametrize("refusal", [REFUSED, OTHER_TARGET])
async def test_a_late_refusal_does_not_show_that_a_later_grant_has_no_effect(
    scripted, leader, refusal
):
    # The third grant gets the response to the second one.
    script = responding(ACCEPTED, ACCEPTED, refusal)
    orders = leader(await scripted(script))
    await orders.grant()
    await orders.grant()
    result = await orders.grant()
    assert isinstance(result, OrderLost)


@pytest.mark.parametrize(
    "refusal, result", [(REFUSED, TokenOutdated()), (OTHER_TARGET, WrongTarget("i-9"))]
)
async def test_a_refusal_on_a_new_connection_counts_and_is_its_last_response(
    scripted, leader, refusal, result
):
    target = await scripted(responding(refusal, ACCEPTED))
    orders = leader(target)
    assert await orders.grant() == result
    assert await orders.grant(3) == Accepted()
    assert target.connections == 2


async def test_the_release_is_repeated_on_another_connection(scripted, leader):
    async def script(received, writer, number):
        if received.connection_requests > 1:
            writer.write(released("aa"))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(released("aa" if number == 1 else "bb"))

    target = await scripted(script)
    orders = leader(target)
    await orders.release(2)
    assert isinstance(await orders.release(4), OrderLost)
    assert await orders.release(4) == Released("bb")
    assert target.connections == 2


async def test_sound_orders_share_one_connection(scripted, leader):
    script = responding(
        ACCEPTED, released("aa"), ACCEPTED, ACCEPTED, released("bb"), released("cc")
    )
    target = await scripted(script)
    orders = leader(target)
    assert await orders.grant(1) == Accepted()
    assert await orders.release(2) == Released("aa")
    assert await orders.grant(3) == Accepted()
    assert await orders.grant(3) == Accepted()
    assert await orders.release(4) == Released("bb")
    assert await orders.release(6) == Released("cc")
    assert target.connections == 1


async def test_a_first_release_without_a_handover_frees_the_keys(scripted, leader):
    orders = leader(await scripted(responding(ACCEPTED)))
    assert await orders.release() == Released(None)
