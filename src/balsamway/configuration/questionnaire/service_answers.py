"""What a workspace answers about one service."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.questionnaire._constraints import Count, Name
from balsamway.configuration.questionnaire.kind_answers import KindAnswers


@dataclass(frozen=True, slots=True)
class ServiceAnswers:
    """What a workspace answers about one service."""

    name: Name
    exclusive_keys: bool
    """Whether each key must have one owner among the targets."""
    instances: Count
    """How many targets the service runs on."""
    slots: Count
    """How many requests a target runs at once."""
    connections: Count
    """How many connections a target accepts."""
    kinds: tuple[KindAnswers, ...]
