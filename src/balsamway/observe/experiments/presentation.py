"""Shows results as tables, JSON and pictures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from matplotlib.figure import Figure
from rich.table import Table

if TYPE_CHECKING:
    from pathlib import Path

    from balsamway.observe.experiments.result import ExperimentResult


def result_table(result: ExperimentResult) -> Table:
    """Lays a result out as a table, one row for each policy.

    Args:
        result: What an experiment found.

    Returns:
        The table, with the goals below it.
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
    """Writes a result as JSON and as a picture.

    Args:
        result: What an experiment found.
        folder: Where to write `NAME.json` and `NAME.svg`.
    """
    folder.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(result), indent=2)
    (folder / f"{result.name}.json").write_bytes(text + b"\n")
    result_figure(result).savefig(folder / f"{result.name}.svg", format="svg")


def result_figure(result: ExperimentResult) -> Figure:
    """Draws a result: its series, or else its first column as bars.

    Args:
        result: What an experiment found.

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
