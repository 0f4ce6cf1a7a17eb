"""Generate configurations from questionnaire files."""

from __future__ import annotations

import sys
from pathlib import Path

from balsamway.configuration.generated_configuration import GeneratedConfiguration
from balsamway.configuration.generator import generate
from balsamway.configuration.questionnaire import Questionnaire, read_questionnaire


def generate_from_file(path: str) -> GeneratedConfiguration | None:
    """Generate a configuration, or print the problems of the questionnaire.

    Args:
        path: The path of the questionnaire.

    Returns:
        The configuration; None if the questionnaire has problems.
    """
    match read_questionnaire(Path(path)):
        case Questionnaire() as answers:
            return generate(answers)
        case problems:
            for problem in problems:
                print(problem, file=sys.stderr)
            return None
