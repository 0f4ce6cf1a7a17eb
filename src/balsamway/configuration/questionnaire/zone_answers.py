"""The answers about one availability zone."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.configuration.questionnaire._constraints import Count, Name


@dataclass(frozen=True, slots=True)
class ZoneAnswers:
    """The answers about one availability zone."""

    name: Name
    region: Name
    entry_hosts: Count
