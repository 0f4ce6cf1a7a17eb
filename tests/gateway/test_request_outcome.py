"""Attempts and verdicts, compared with a simple reference.

A request must not be retried when that could run it twice, and the verdict
must not deny a run. Both depend on the order in which attempts fail.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import looptime
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from balsamway.gateway import CallerRequest, GatewayMetrics
from balsamway.gateway.attempt_loop import AttemptLoop
from balsamway.gateway.retry_budget import RetryBudget
from balsamway.outcome import Completed, MayHaveRun, NotRun, Reason
from tests.fakes.gateway_configurations import LIDS, LOOKUP, ORDER, PRICES
from tests.fakes.gateway_script import DONE, ScriptedPath, Step, refused, uncertain

DEADLINE = 10.0
RETRIED = (Reason.TARGET_SHED, Reason.WRONG_EPOCH, Reason.CONNECT_FAILED)
FINAL = (Reason.OVERLOADED, Reason.NO_OWNER, Reason.DEADLINE_EXCEEDED)

durations = st.sampled_from([0.0, 0.01, 0.3])
steps = st.one_of(
    st.builds(uncertain, st.booleans(), durations),
    st.builds(refused, st.sampled_from(RETRIED + FINAL), durations),
    st.builds(lambda seconds: replace(DONE, seconds=seconds), durations),
)
scripts = st.lists(steps, max_size=8)


def carry_out(script, idempotent, tokens, hedge_delay=None):
    async def _run():
        kind = LOOKUP if idempotent else ORDER
        deadline = asyncio.get_running_loop().time() + DEADLINE
        request = CallerRequest(LIDS, PRICES, kind, "r1", "", deadline, b"")
        budget = RetryBudget()
        while budget.tokens > tokens:
            budget.try_spend()
        path = ScriptedPath(script)
        metrics = GatewayMetrics(CollectorRegistry())
        run = AttemptLoop(request, path, budget, metrics, random.Random(1))
        return await run.run(hedge_delay), path

    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(_run())


def reference(script, idempotent, retries_of_uncertain):
    """Return the number of allowed attempts and the correct verdict."""
    seen: list[Step] = []
    for step in [*script, DONE]:
        seen.append(step)
        match step.verdict:
            case Completed():
                return len(seen), step.verdict
            case NotRun(reason=reason):
                if reason not in RETRIED:
                    break
            case MayHaveRun():
                if not idempotent or retries_of_uncertain == 0:
                    break
                retries_of_uncertain -= 1
    verdicts = [step.verdict for step in seen]
    uncertain_verdicts = [
        verdict for verdict in verdicts if isinstance(verdict, MayHaveRun)
    ]
    return len(seen), uncertain_verdicts[-1] if uncertain_verdicts else verdicts[-1]


@given(scripts, st.booleans(), st.integers(0, 3))
def test_attempts_and_verdict_are_those_of_the_reference(script, idempotent, tokens):
    script = [replace(step, seconds=0.0) for step in script]
    verdict, path = carry_out(script, idempotent, tokens)
    assert (path.begun, verdict) == reference(script, idempotent, tokens)


@given(scripts, st.booleans(), st.integers(0, 3))
def test_a_hedged_request_keeps_every_promise(script, idempotent, tokens):
    verdict, path = carry_out(script, idempotent, tokens, hedge_delay=0.05)
    if isinstance(verdict, NotRun):
        assert path.runs == []
    if isinstance(verdict, Completed):
        assert verdict in [step.verdict for step in path.runs]
    if not idempotent:
        assert len(path.runs) <= 1
        assert path.most_in_flight <= 1
    assert path.most_in_flight <= 2
    assert path.in_flight == 0


def test_the_answer_of_a_hedge_wins_and_the_late_attempt_is_cancelled():
    late = Step(Completed(200, {}, b"late"), True, 5.0)
    verdict, path = carry_out([late], True, 1, hedge_delay=0.05)
    assert verdict == DONE.verdict
    assert (path.begun, path.in_flight) == (2, 0)


def test_no_hedge_without_budget():
    late = Step(Completed(200, {}, b"late"), True, 5.0)
    verdict, path = carry_out([late], True, 0, hedge_delay=0.05)
    assert verdict == late.verdict
    assert path.begun == 1
