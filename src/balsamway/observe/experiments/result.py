"""What an experiment found."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """The measures of one policy."""

    policy: str
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Series:
    """One measure of one policy over time."""

    label: str
    times: tuple[float, ...]
    """Seconds from the start of the experiment."""
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Goal:
    """A stated target, and what was measured for it."""

    name: str
    bound: float
    measured: float
    at_least: bool = False
    """Whether the bound is a least value; else it is a greatest one."""

    @property
    def met(self) -> bool:
        """Whether the measured value keeps the bound."""
        if self.at_least:
            return self.measured >= self.bound
        return self.measured <= self.bound


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """The measures of all policies on the same arrivals."""

    name: str
    title: str
    seed: int
    columns: tuple[str, ...]
    rows: tuple[Row, ...]
    goals: tuple[Goal, ...] = ()
    series: tuple[Series, ...] = ()
    series_unit: str = ""
