"""Experiments that run the real policies in a simulated environment."""

from balsamway.observe.experiments.registry import EXPERIMENTS
from balsamway.observe.experiments.result import ExperimentResult, Goal, Row, Series

__all__ = ["EXPERIMENTS", "ExperimentResult", "Goal", "Row", "Series"]
