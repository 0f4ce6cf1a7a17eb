"""The answers about one service."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.questionnaire._constraints import Count, Name
from balsamway.configuration.questionnaire.kind_answers import KindAnswers


@dataclass(frozen=True, slots=True)
class ServiceAnswers:
    """The answers about one service."""

    name: Name
    exclusive_keys: bool
    """Whether each key must have one owner among the targets."""
    instances: Count
    """How many targets are planned."""
    slots: Count
    """How many requests a target runs at the same time."""
    connections: Count
    """How many connections a target accepts."""
    kinds: tuple[KindAnswers, ...]
