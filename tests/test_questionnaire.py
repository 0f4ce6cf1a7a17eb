from __future__ import annotations

import copy
import json
from pathlib import Path

import pytest

from balsamway.configuration.questionnaire import (
    Problem,
    Questionnaire,
    parse_questionnaire,
    read_questionnaire,
)

EXAMPLES = Path(__file__).parent.parent / "examples"

ANSWERS = {
    "workspace": "m",
    "zones": [{"name": "z1", "region": "r", "entry_hosts": 3}],
    "services": [
        {
            "name": "s",
            "exclusive_keys": True,
            "instances": 2,
            "slots": 3,
            "connections": 50,
            "kinds": [{"name": "k", "idempotent": True, "timeout_ms": 1000}],
        }
    ],
    "tokens_sha256": ["0" * 64],
}


def problems_after(change):
    answers = copy.deepcopy(ANSWERS)
    change(answers)
    problems = parse_questionnaire(json.dumps(answers), "a.json5")
    return {problem.place: problem for problem in problems}


def test_valid_answers_are_parsed():
    found = parse_questionnaire(json.dumps(ANSWERS), "a.json5")
    assert isinstance(found, Questionnaire)
    assert found.services[0].kinds[0].timeout_ms == 1000


@pytest.mark.parametrize("name", ["tapaderas.json5", "groyne-repair.json5"])
def test_the_examples_have_no_problems(name):
    assert isinstance(read_questionnaire(EXAMPLES / name), Questionnaire)


def service(**fields):
    return lambda answers: answers["services"][0].update(fields)


def kind(**fields):
    return lambda answers: answers["services"][0]["kinds"][0].update(fields)


def document(**fields):
    return lambda answers: answers.update(fields)


@pytest.mark.parametrize(
    ("change", "place", "found", "expected"),
    [
        (
            document(workspace="Bad Name"),
            "workspace",
            "'Bad Name'",
            "a name of 1 to 40",
        ),
        (document(workspace=7), "workspace", "7", "a name"),
        (document(extra=1), "extra", "an unknown field", "one of workspace"),
        (lambda a: a.pop("workspace"), "workspace", "nothing", "a value"),
        (document(zones=[]), "zones", "an empty array", "at least one"),
        (document(services=[]), "services", "an empty array", "at least one"),
        (document(services={}), "services", "an object", "an array"),
        (document(services=[1]), "services[0]", "1", "an object"),
        (document(tokens_sha256=[]), "tokens_sha256", "an empty array", "at least one"),
        (
            document(weights={"imbalance": -1}),
            "weights.imbalance",
            "-1",
            "a number from 0",
        ),
        (
            document(weights={"imbalance": 0, "unavailable_time": 0}),
            "weights",
            "only zeros",
            "above zero",
        ),
        (service(slots=0), "services[0].slots", "0", "a whole number from 1 to 100000"),
        (service(slots=True), "services[0].slots", "true", "a whole number"),
        (service(instances=None), "services[0].instances", "null", "a whole number"),
        (
            service(exclusive_keys="yes"),
            "services[0].exclusive_keys",
            "'yes'",
            "true or false",
        ),
        (service(kinds=[]), "services[0].kinds", "an empty array", "at least one"),
        (service(connections=3), "services[0].connections", "3", "at least 4"),
        (
            kind(timeout_ms=5),
            "services[0].kinds[0].timeout_ms",
            "5",
            "milliseconds from 10",
        ),
        (kind(timeout_ms=10**9), "services[0].kinds[0].timeout_ms", "10", "to 600000"),
        (
            kind(timeout_ms=1.5),
            "services[0].kinds[0].timeout_ms",
            "1.5",
            "milliseconds",
        ),
        (
            kind(under_load="x"),
            "services[0].kinds[0].under_load",
            "'x'",
            "one of urgent, normal, patient",
        ),
    ],
)
def test_a_problem_has_place_found_and_expected(change, place, found, expected):
    problems = problems_after(change)
    assert list(problems) == [place]
    assert found in problems[place].found
    assert expected in problems[place].expected


def test_duplicate_names_are_problems():
    def change(answers):
        answers["zones"] *= 2
        answers["services"] *= 2
        answers["services"][0]["kinds"] *= 2
        answers["tokens_sha256"] *= 2

    assert set(problems_after(change)) == {
        "zones[1].name",
        "services[1].name",
        "services[0].kinds[1].name",
        "services[1].kinds[1].name",
        "tokens_sha256[1]",
    }


def test_all_problems_are_reported_together():
    def change(answers):
        answers["workspace"] = ""
        answers["zones"][0]["entry_hosts"] = -2
        answers["services"][0]["slots"] = "three"
        answers["services"][0]["kinds"][0]["idempotent"] = 1
        del answers["services"][0]["kinds"][0]["timeout_ms"]

    assert len(problems_after(change)) == 5


def test_a_plain_token_is_a_problem_and_is_not_shown():
    problems = problems_after(document(tokens_sha256=["my-secret-token"]))
    assert "secret" not in str(problems["tokens_sha256[0]"])
    problems = problems_after(document(token="my-secret-token"))
    assert "secret" not in str(problems["token"])


@pytest.mark.parametrize("text", ["", "{", "{a: 1,,}", "[1] 2"])
def test_bad_syntax_is_one_problem_of_the_whole_file(text):
    (problem,) = parse_questionnaire(text, "a.json5")
    assert str(problem).startswith("a.json5: (whole file): found bad syntax")


def test_a_missing_file_is_a_problem(tmp_path):
    (problem,) = read_questionnaire(tmp_path / "none.json5")
    assert isinstance(problem, Problem)
