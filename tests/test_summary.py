from __future__ import annotations

from dataclasses import replace

import pytest

from balsamway.slices import POSITION_END, KeyRange
from balsamway.standins.journal import (
    AnswerCheck,
    GrantHeld,
    Journal,
    Run,
    RunOutcome,
    Told,
    ToldVerdict,
)
from balsamway.standins.summary import summarize

RUN = Run(
    "s1", "m", "s", "x", "r1", "k", 5, "m/s/0", 1, 1.0, 1.0, 1.3, RunOutcome.APPLIED
)
TOLD = Told(
    "m",
    "s",
    "x",
    "r1",
    "k",
    True,
    ToldVerdict.COMPLETED,
    "",
    200,
    AnswerCheck.WHOLE,
    1.0,
    1.3,
)
QUARTER = KeyRange(0, POSITION_END // 4)


def test_it_counts_verdicts_and_latency():
    refused = replace(TOLD, verdict=ToldVerdict.NOT_RUN, answer=AnswerCheck.NONE)
    told = (TOLD, replace(refused, request_id="r2"), replace(refused, request_id="r3"))
    summary = summarize(Journal(runs=(RUN,), told=told))["m"]
    assert (summary.requests, summary.answered, summary.refused_not_run) == (3, 1, 2)
    assert summary.p50_ms == pytest.approx(300, rel=0.01)


def test_imbalance_counts_idle_targets():
    busier = replace(RUN, target="s2", request_id="r2", end=1.1)
    summaries = summarize(Journal(runs=(RUN, busier), told=(TOLD,)), targets={"m/s": 4})
    assert summaries["m"].imbalance == pytest.approx(0.3 / (0.4 / 4))


def test_churn_is_the_share_that_changed_its_owner():
    grants = (
        GrantHeld("s1", "m/s/0", KeyRange(0, POSITION_END), 1, 0.0, 5.0),
        GrantHeld("s1", "m/s/0", KeyRange(QUARTER.end, POSITION_END), 1, 5.0, 9.0),
        GrantHeld("s2", "m/s/0", QUARTER, 2, 5.0, 9.0),
    )
    summaries = summarize(Journal(grants=grants, told=(TOLD,)), since=1.0)
    assert summaries["m"].churn == pytest.approx(0.25)


def test_unavailable_time_is_the_longest_over_keys():
    failed = replace(TOLD, verdict=ToldVerdict.NOT_RUN, answer=AnswerCheck.NONE)
    told = (
        replace(failed, key="a", start=1.0, end=1.5),
        replace(failed, key="a", start=2.0, end=2.5),
        replace(TOLD, key="a", start=2.6, end=2.7),
        replace(failed, key="a", start=9.0, end=9.1),
        replace(failed, key="b", start=1.0, end=2.0),
    )
    assert summarize(Journal(told=told))["m"].unavailable_seconds == pytest.approx(1.5)
