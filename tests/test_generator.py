from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgspec
import pyjson5
import pytest

from balsamway.configuration import Urgency, WorkspaceConfiguration
from balsamway.configuration.difference import difference
from balsamway.configuration.generator import generate
from balsamway.configuration.questionnaire import read_questionnaire
from balsamway.configuration.rendering import render

EXAMPLES = Path(__file__).parent.parent / "examples"
NAMES = ("tapaderas.json5", "groyne-repair.json5")


@pytest.fixture(params=NAMES)
def answers(request):
    return read_questionnaire(EXAMPLES / request.param)


def leaf_paths(path, value):
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from leaf_paths(f"{path}.{name}" if path else name, inner)
    elif isinstance(value, (list, tuple)) and value and isinstance(value[0], dict):
        for index, inner in enumerate(value):
            yield from leaf_paths(f"{path}[{index}]", inner)
    else:
        yield path


def test_the_same_answers_give_the_same_text(answers):
    assert render(generate(answers)) == render(generate(answers))


def test_every_value_has_an_origin(answers):
    generated = generate(answers)
    paths = set(leaf_paths("", msgspec.to_builtins(generated.configuration)))
    with_origin = {origin.path for origin in generated.provenance}
    assert paths - with_origin == {"version", "change_id", "replaced"}
    assert with_origin <= paths


def test_a_rendered_configuration_can_be_parsed(answers):
    generated = generate(answers)
    text = render(generated)
    parsed = msgspec.convert(pyjson5.decode(text), WorkspaceConfiguration)
    assert parsed == generated.configuration
    assert "// from services[0].instances: 16 for each target" in text


def test_answers_determine_the_configuration():
    answers = read_questionnaire(EXAMPLES / "tapaderas.json5")
    configuration = generate(answers).configuration
    inventory = configuration.service("inventory")
    assert inventory.exclusive_keys
    assert (inventory.slices, inventory.gateways_at_most) == (256, 16)
    assert inventory.kind("stock-lookup").urgency is Urgency.URGENT
    archive = configuration.service("price-archive")
    assert archive.kind("price-lookup").timeout_seconds == 30.0
    assert archive.kind("price-lookup").urgency is Urgency.PATIENT


def test_differences_are_found_by_name(answers):
    before = generate(answers).configuration
    after = replace(before, version=7, services=before.services[::-1])
    assert difference(before, after) == ()
    service = replace(before.services[0], slots=4)
    after = replace(before, services=(service, *before.services[2:]))
    texts = [str(change) for change in difference(before, after)]
    assert f"~ services[{service.name}].slots: 3 -> 4" in texts
    removed = before.services[1].name
    assert all(
        text.startswith(f"- services[{removed}]") for text in texts if text[0] == "-"
    )


def test_every_value_of_a_new_workspace_is_added(answers):
    changes = difference(None, generate(answers).configuration)
    assert {change.kind for change in changes} == {"added"}
