from __future__ import annotations

from dataclasses import fields, replace

import pytest

from balsamway.slices import POSITION_END, KeyRange
from balsamway.standins.checker import Invariant, check
from balsamway.standins.journal import (
    AnswerCheck,
    AssignmentTold,
    GrantHeld,
    Journal,
    Run,
    RunOutcome,
    StopAsked,
    Told,
    ToldVerdict,
    VersionSeen,
)

LOW = KeyRange(0, POSITION_END // 2)
HIGH = KeyRange(POSITION_END // 2, POSITION_END)
RUN = Run(
    "s1", "m", "s", "order", "r1", "k", 5, "m/s/0", 1, 1.0, 1.1, 1.2, RunOutcome.APPLIED
)
TOLD = Told(
    "m",
    "s",
    "order",
    "r1",
    "k",
    False,
    ToldVerdict.COMPLETED,
    "",
    200,
    AnswerCheck.WHOLE,
    0.9,
    1.3,
)
REFUSED = replace(
    TOLD,
    request_id="r2",
    verdict=ToldVerdict.NOT_RUN,
    reason="overloaded",
    answer=AnswerCheck.NONE,
)
VALID = Journal(
    grants=(
        GrantHeld("s1", "m/s/0", LOW, 1, 0.0, 2.0),
        GrantHeld("s2", "m/s/0", HIGH, 2, 0.0, 9.0),
        GrantHeld("s2", "m/s/0", LOW, 3, 2.0, 9.0),
    ),
    runs=(
        RUN,
        replace(RUN, request_id="r2", outcome=RunOutcome.REFUSED),
        replace(RUN, request_id="r3", outcome=RunOutcome.CUT_OFF),
    ),
    told=(TOLD, REFUSED),
    assignments_told=(AssignmentTold("m/s/0", LOW, "s1", 1, 0.5),),
    assignments_kept=(
        AssignmentTold("m/s/0", LOW, "s2", 3, 9.0),
        AssignmentTold("m/s/0", HIGH, "s2", 2, 9.0),
    ),
    versions=(
        VersionSeen("h1", 1, "m", 1, 0.0),
        VersionSeen("h1", 1, "m", 2, 1.0),
        VersionSeen("h1", 2, "m", 1, 2.0),
    ),
    stops=(StopAsked("s1", 1.5),),
)
SECOND_RUN = replace(RUN, target="s1", start=1.3, end=1.4)
# Each of these journals, added to VALID, violates just the one invariant.
INVALID_ADDITIONS = {
    Invariant.SOLE_OWNER: Journal(grants=(GrantHeld("s1", "m/s/0", LOW, 4, 8.0, 8.5),)),
    Invariant.RUN_UNDER_OWNERSHIP: Journal(
        runs=(replace(RUN, request_id="r4", start=1.9, end=2.1),)
    ),
    Invariant.ASSIGNMENT_KEPT: Journal(
        assignments_told=(AssignmentTold("m/s/0", HIGH, "s3", 3, 4.0),)
    ),
    Invariant.RUN_AT_MOST_ONCE: Journal(runs=(SECOND_RUN,)),
    Invariant.ANSWER_FROM_RUN: Journal(told=(replace(TOLD, request_id="r5"),)),
    Invariant.NOT_RUN_IS_TRUE: Journal(runs=(replace(RUN, request_id="r2"),)),
    Invariant.VERSION_GROWS: Journal(versions=(VersionSeen("h1", 1, "m", 1, 3.0),)),
    Invariant.ANSWER_WHOLE: Journal(
        told=(replace(REFUSED, answer=AnswerCheck.SWAPPED),)
    ),
    Invariant.LEAVING_IDLE: Journal(
        runs=(
            replace(RUN, request_id="r6", shard="", admitted=4.6, start=4.6, end=4.7),
        )
    ),
    Invariant.STOP_GRACEFUL: Journal(
        runs=(replace(RUN, request_id="r7", end=1.6, outcome=RunOutcome.CUT_OFF),)
    ),
}


def test_valid_journal_has_no_violations():
    assert check(VALID) == ()


@pytest.mark.parametrize("invariant", Invariant)
def test_each_violation_is_found_without_others(invariant):
    violations = check(VALID + INVALID_ADDITIONS[invariant])
    assert [violation.invariant for violation in violations] == [invariant]


@pytest.mark.parametrize(
    ("kept", "lost"),
    [
        (AssignmentTold("m/s/0", LOW, "s9", 1, 9.0), True),
        (AssignmentTold("m/s/0", LOW, "s1", 1, 9.0), False),
        (AssignmentTold("m/s/0", LOW, "s9", 0, 9.0), True),
    ],
)
def test_final_assignment_must_agree_with_reported_one(kept, lost):
    journal = Journal(assignments_told=VALID.assignments_told, assignments_kept=(kept,))
    assert bool(check(journal)) is lost


@pytest.mark.parametrize(("recorded_at", "lost"), [(0.4, False), (0.6, True)])
def test_assignment_must_be_recorded_before_it_is_reported(recorded_at, lost):
    told = VALID.assignments_told[0]
    journal = Journal(
        assignments_told=(told,),
        assignments_recorded=(replace(told, time=recorded_at),),
    )
    assert bool(check(journal)) is lost


def test_idempotent_request_may_run_twice():
    journal = Journal(runs=(RUN, SECOND_RUN), told=(replace(TOLD, idempotent=True),))
    assert check(journal) == ()


def test_request_without_response_is_no_lost_run():
    told = replace(TOLD, verdict=ToldVerdict.MAY_HAVE_RUN, answer=AnswerCheck.NONE)
    assert check(Journal(told=(told,))) == ()


def test_journals_are_merged_by_field():
    merged = VALID + VALID
    for field in fields(Journal):
        assert getattr(merged, field.name) == 2 * getattr(VALID, field.name)
