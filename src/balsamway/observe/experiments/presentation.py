"""Renders results as tables, JSON and charts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from matplotlib.figure import Figure
from rich.table import Table

if TYPE_CHECKING:
    from pathlib import Path

    from balsamway.observe.experiments.result import ExperimentResult


def result_table(result: ExperimentResult) -> Table:
    """Return a result as a table with one row for each policy.

    Args:
        result: The result of an experiment.

    Returns:
        The table, with the goals in its caption.
    """
    table = Table(title=f"{result.name}: {result.title} (seed {result.seed})")
    table.add_column("policy")
    for column in result.columns:
        table.add_column(column, justify="right")
    for row in result.rows:
        table.add_row(row.policy, *(format(value, ".4g") for value in row.values))
    table.caption = "\n".join(
        f"{goal.name}: {goal.measured:.4g}, "
        f"goal {'at least' if goal.at_least else 'at most'} {goal.bound:g}: "
        f"{'met' if goal.met else 'NOT MET'}"
        for goal in result.goals
    )
    return table


def write_result(result: ExperimentResult, folder: Path) -> None:
    """Write a result as JSON and as a chart.

    Args:
        result: The result of an experiment.
        folder: The folder in which `NAME.json` and `NAME.svg` are written;
            created if it does not exist.
    """
    folder.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(result), indent=2)
    (folder / f"{result.name}.json").write_bytes(text + b"\n")
    result_figure(result).savefig(folder / f"{result.name}.svg", format="svg")


def result_figure(result: ExperimentResult) -> Figure:
    """Draw the series of a result, or its first column if it has none.

    Args:
        result: The result of an experiment.

    Returns:
        The figure.
    """
    figure = Figure(figsize=(8.0, 4.5), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(result.title)
    if result.series:
        for series in result.series:
            axes.plot(series.times, series.values, label=series.label, marker=".")
        axes.set_xlabel("seconds")
        axes.set_ylabel(result.series_unit)
        axes.legend()
    else:
        names = [row.policy for row in result.rows]
        axes.barh(names, [row.values[0] for row in result.rows])
        axes.set_xlabel(result.columns[0])
    return figure
