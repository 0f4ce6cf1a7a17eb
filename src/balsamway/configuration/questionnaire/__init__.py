"""Read and check the questionnaire of a workspace."""

from balsamway.configuration.questionnaire.kind_answers import KindAnswers
from balsamway.configuration.questionnaire.load_priority import LoadPriority
from balsamway.configuration.questionnaire.problem import Problem
from balsamway.configuration.questionnaire.questionnaire import Questionnaire
from balsamway.configuration.questionnaire.reader import (
    parse_questionnaire,
    read_questionnaire,
)
from balsamway.configuration.questionnaire.service_answers import ServiceAnswers
from balsamway.configuration.questionnaire.weights_answers import WeightsAnswers
from balsamway.configuration.questionnaire.zone_answers import ZoneAnswers

__all__ = [
    "KindAnswers",
    "LoadPriority",
    "Problem",
    "Questionnaire",
    "ServiceAnswers",
    "WeightsAnswers",
    "ZoneAnswers",
    "parse_questionnaire",
    "read_questionnaire",
]
