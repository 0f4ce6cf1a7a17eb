"""Reads the questionnaires that verbs are given."""

from __future__ import annotations

import sys
from pathlib import Path

from balsamway.configuration.generated_configuration import GeneratedConfiguration
from balsamway.configuration.generator import generate
from balsamway.configuration.questionnaire import Questionnaire, read_questionnaire


def generate_from(path: str) -> GeneratedConfiguration | None:
    """Generates a configuration, or prints what is wrong with the answers.

    Args:
        path: The questionnaire.

    Returns:
        The configuration; None where the answers have problems.
    """
    match read_questionnaire(Path(path)):
        case Questionnaire() as answers:
            return generate(answers)
        case problems:
            for problem in problems:
                print(problem, file=sys.stderr)
            return None
