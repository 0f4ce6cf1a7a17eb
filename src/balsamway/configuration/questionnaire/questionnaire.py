"""All answers of one workspace."""

from __future__ import annotations

from dataclasses import dataclass, field

from balsamway.configuration.questionnaire._constraints import Name, TokenHash
from balsamway.configuration.questionnaire.service_answers import ServiceAnswers
from balsamway.configuration.questionnaire.weights_answers import WeightsAnswers
from balsamway.configuration.questionnaire.zone_answers import ZoneAnswers


@dataclass(frozen=True, slots=True)
class Questionnaire:
    """All answers of one workspace."""

    workspace: Name
    zones: tuple[ZoneAnswers, ...]
    services: tuple[ServiceAnswers, ...]
    tokens_sha256: tuple[TokenHash, ...]
    """The SHA-256 in hexadecimal of each token that callers may present."""
    weights: WeightsAnswers = field(default_factory=WeightsAnswers)
