"""The answers about the weights of measures."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.questionnaire._constraints import Weight


@dataclass(frozen=True, slots=True)
class WeightsAnswers:
    """The weight of each measure for a workspace; only the ratio matters."""

    imbalance: Weight = 1.0
    unavailable_time: Weight = 1.0
