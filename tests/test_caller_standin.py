from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from aiohttp import web

from balsamway.standins.caller import (
    CallerSettings,
    CallerStandin,
    CallKind,
    ZipfKeys,
)
from balsamway.standins.http_standin import HttpStandin
from balsamway.standins.journal import AnswerCheck, ToldVerdict
from balsamway.standins.json_body import json_answer

KINDS = (CallKind("s", "order", idempotent=False),)
SETTINGS = CallerSettings("m", "t", ("127.0.0.1:1",), KINDS, 200.0, 0.2, seed=1)


class EchoGateway(HttpStandin):
    """Completes every second request, and every tenth with another key."""

    def __init__(self):
        super().__init__("127.0.0.1:0")
        self.count = 0

    def routes(self):
        return [web.post("/v1/{service}/{kind}", self._post)]

    async def _post(self, request):
        self.count += 1
        request_id = request.headers["Balsamway-Request-Id"]
        headers = {"Balsamway-Request-Id": request_id}
        if self.count % 2:
            headers |= {"Balsamway-Verdict": "not-run"}
            headers |= {"Balsamway-Reason": "overloaded"}
            return json_answer({}, 503, headers)
        key = request.headers["Balsamway-Key"] if self.count % 5 else "other"
        headers |= {"Balsamway-Verdict": "completed"}
        return json_answer({"request_id": request_id, "key": key}, 200, headers)


@pytest.fixture
async def gateway():
    async with EchoGateway() as standin:
        yield standin


async def test_callers_record_the_verdict_of_each_request(gateway):
    settings = replace(SETTINGS, gateways=(gateway.address,))
    async with CallerStandin(settings) as caller:
        await caller.wait_done()
        told = caller.journal.told
    assert len(told) == caller.sent == gateway.count > 0
    verdicts = Counter(record.verdict for record in told)
    assert verdicts[ToldVerdict.NOT_RUN] == (gateway.count + 1) // 2
    swapped = [record for record in told if record.answer is AnswerCheck.SWAPPED]
    assert len(swapped) == gateway.count // 10


async def test_an_unreachable_gateway_is_recorded_as_unreached():
    async with CallerStandin(replace(SETTINGS, seconds=0.02)) as caller:
        await caller.wait_done()
        told = caller.journal.told
    assert {record.verdict for record in told} == {ToldVerdict.UNREACHED}


def test_hot_keys_take_their_share_until_they_change():
    settings = replace(SETTINGS, keys=1000, hot_keys=2, hot_share=0.8)
    keys = ZipfKeys(settings, random.Random(1))
    before = Counter(keys.draw("s") for _ in range(2000)).most_common(2)
    assert sum(count for _, count in before) >= 0.75 * 2000
    keys.change_hot_set()
    after = Counter(keys.draw("s") for _ in range(2000)).most_common(2)
    assert {key for key, _ in before} != {key for key, _ in after}
