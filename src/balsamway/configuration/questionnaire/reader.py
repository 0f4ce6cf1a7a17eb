"""Read a questionnaire and report every problem in it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pyjson5

from balsamway.configuration.questionnaire._rules import check_rules
from balsamway.configuration.questionnaire._structure import StructureCheck
from balsamway.configuration.questionnaire.problem import Problem
from balsamway.configuration.questionnaire.questionnaire import Questionnaire

if TYPE_CHECKING:
    from pathlib import Path


def read_questionnaire(path: Path) -> Questionnaire | tuple[Problem, ...]:
    """Read and check a questionnaire.

    Args:
        path: The path of the file, JSON with comments.

    Returns:
        The questionnaire, or every problem in it.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or "an error"
        return (Problem(str(path), "", reason, "a readable file"),)
    except UnicodeDecodeError:
        return (Problem(str(path), "", "bytes that are not UTF-8", "UTF-8 text"),)
    return parse_questionnaire(text, str(path))


def parse_questionnaire(text: str, file: str) -> Questionnaire | tuple[Problem, ...]:
    """Check the text of a questionnaire.

    Args:
        text: JSON with comments.
        file: The name of the file to give in problems.

    Returns:
        The questionnaire, or every problem in it.
    """
    try:
        document = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        syntax = str(error.args[0])
        return (Problem(file, "", f"bad syntax ({syntax})", "JSON with comments"),)
    check = StructureCheck(file)
    check.check(document, Questionnaire)
    check_rules(document, check)
    if check.problems:
        return tuple(sorted(check.problems, key=lambda problem: problem.place))
    return msgspec.convert(document, Questionnaire)
