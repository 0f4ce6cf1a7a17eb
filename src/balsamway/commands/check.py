"""Checks questionnaires."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from balsamway.commands.verb import FINE, NOT_MET, Verb
from balsamway.configuration.questionnaire import Questionnaire, read_questionnaire

if TYPE_CHECKING:
    from absl import flags


def run(arguments: list[str]) -> int:
    """Prints everything that is wrong with the questionnaires given.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    results = [_check(path) for path in parsed.words]
    return FINE if all(results) else NOT_MET


def _define(values: flags.FlagValues) -> None:
    """Defines no flags."""


def _check(path: str) -> bool:
    match read_questionnaire(Path(path)):
        case Questionnaire(workspace=workspace):
            print(f"{path}: fine, workspace {workspace}")
            return True
        case problems:
            for problem in problems:
                print(problem)
            return False


VERB = Verb(
    "check",
    "QUESTIONNAIRE...",
    "Checks questionnaires and prints every problem, one a line.\n"
    "Exits with 0 if there is none, 1 if there is one, 2 for wrong usage.",
    _define,
    fewest_words=1,
    most_words=1000,
)
