"""Defines the result of an experiment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """The measures of one policy."""

    policy: str
    values: tuple[float, ...]
    """One for each column of the result."""


@dataclass(frozen=True, slots=True)
class Series:
    """One measure of one policy over time."""

    label: str
    times: tuple[float, ...]
    """In seconds since the start of the experiment."""
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Goal:
    """A bound that a measured value is to keep."""

    name: str
    bound: float
    measured: float
    at_least: bool = False
    """Whether the bound is a minimum; else it is a maximum."""

    @property
    def met(self) -> bool:
        """Whether the measured value is within the bound."""
        if self.at_least:
            return self.measured >= self.bound
        return self.measured <= self.bound


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """The measures of all policies, each on the same arrivals."""

    name: str
    title: str
    seed: int
    columns: tuple[str, ...]
    rows: tuple[Row, ...]
    goals: tuple[Goal, ...] = ()
    series: tuple[Series, ...] = ()
    series_unit: str = ""
