"""Checks questionnaires."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from balsamway.commands.subcommand import EXIT_OK, EXIT_UNMET, Subcommand
from balsamway.configuration.questionnaire import Questionnaire, read_questionnaire

if TYPE_CHECKING:
    from absl import flags


def run(arguments: list[str]) -> int:
    """Print every problem of the given questionnaires.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    results = [_check(path) for path in parsed.positionals]
    return EXIT_OK if all(results) else EXIT_UNMET


def _define_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


def _check(path: str) -> bool:
    match read_questionnaire(Path(path)):
        case Questionnaire(workspace=workspace):
            print(f"{path}: fine, workspace {workspace}")
            return True
        case problems:
            for problem in problems:
                print(problem)
            return False


SUBCOMMAND = Subcommand(
    "check",
    "QUESTIONNAIRE...",
    "Checks questionnaires and prints every problem, one a line.\n"
    "Exits with 0 if there is none, 1 if there is one, 2 for wrong usage.",
    _define_flags,
    min_arguments=1,
    max_arguments=1000,
)
