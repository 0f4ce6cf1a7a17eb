"""Renders a workspace's report as a table and as one page of HTML."""

from __future__ import annotations

import html
import io
from typing import TYPE_CHECKING

from matplotlib.figure import Figure
from rich.table import Table

if TYPE_CHECKING:
    from balsamway.observe.report.workspace_report import ServiceReport, WorkspaceReport

HEADINGS = (
    "service",
    "requests",
    "completed",
    "mean ms",
    "max/mean busy",
    "variation",
)

CHURN_NOTE = "Changes of owner are not counted by the daemons; see their state."


def report_table(report: WorkspaceReport) -> Table:
    """Return a report as a table.

    Args:
        report: The report to show.

    Returns:
        A table with a row for each service, and the cost below.
    """
    table = Table(*HEADINGS, title=f"workspace {report.workspace}")
    for service in report.services:
        table.add_row(*_format_cells(service))
    table.caption = "\n".join(_list_notes(report))
    return table


def report_page(report: WorkspaceReport) -> str:
    """Return a report as a page of HTML that loads no other resources.

    Args:
        report: The report to show.

    Returns:
        The page, with a chart for each service.
    """
    head = "".join(f"<th>{html.escape(name)}</th>" for name in HEADINGS)
    rows = "".join(
        "<tr>"
        + "".join(f"<td>{html.escape(cell)}</td>" for cell in _format_cells(service))
        + "</tr>"
        for service in report.services
    )
    notes = "".join(f"<p>{html.escape(note)}</p>" for note in _list_notes(report))
    charts = "".join(_draw_busy_chart(service) for service in report.services)
    title = html.escape(f"Workspace {report.workspace}")
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>body{{font-family:sans-serif}}"
        f"td,th{{padding:0.2em 1em;text-align:right}}</style></head><body>"
        f"<h1>{title}</h1><table><tr>{head}</tr>{rows}</table>"
        f"{notes}{charts}</body></html>\n"
    )


def _format_cells(service: ServiceReport) -> tuple[str, ...]:
    return (
        service.service,
        format(service.requests, ".0f"),
        format(service.completed_share, ".4%"),
        format(service.mean_seconds * 1000.0, ".1f"),
        format(service.imbalance.maximum_over_mean, ".3f"),
        format(service.imbalance.coefficient_of_variation, ".3f"),
    )


def _list_notes(report: WorkspaceReport) -> list[str]:
    notes = [
        f"{report.cost.entry_hosts} entry hosts, shared by all workspaces; "
        f"{report.cost.connections_opened:.0f} connections opened to targets and "
        f"{report.cost.platform_calls:.0f} calls to the platform since the start.",
        CHURN_NOTE,
    ]
    if report.hosts_unreached:
        notes.append(f"Not reached: {', '.join(report.hosts_unreached)}.")
    for service in report.services:
        for refused in service.refused:
            notes.append(
                f"{service.service}: {refused.requests:.0f} not completed, "
                f"{refused.reason}."
            )
    return notes


def _draw_busy_chart(service: ServiceReport) -> str:
    figure = Figure(figsize=(7.0, 3.0), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(f"{service.service}: busy seconds by target")
    names = [each.target for each in service.targets]
    axes.barh(names, [each.busy_seconds for each in service.targets])
    svg_file = io.StringIO()
    figure.savefig(svg_file, format="svg", metadata={"Date": None})
    text = svg_file.getvalue()
    return text[text.index("<svg") :]
