"""Shows a workspace's report as text and as one page of HTML."""

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

NOT_COUNTED = "Changes of owner are not counted by the daemons; see their state."


def report_table(report: WorkspaceReport) -> Table:
    """Lays a report out as a table.

    Args:
        report: The report.

    Returns:
        A row for each service, with the cost below.
    """
    table = Table(*HEADINGS, title=f"workspace {report.workspace}")
    for service in report.services:
        table.add_row(*_cells(service))
    table.caption = "\n".join(_notes(report))
    return table


def report_page(report: WorkspaceReport) -> str:
    """Makes a page of HTML that needs nothing else.

    Args:
        report: The report.

    Returns:
        The page, with a picture for each service.
    """
    head = "".join(f"<th>{html.escape(name)}</th>" for name in HEADINGS)
    rows = "".join(
        "<tr>"
        + "".join(f"<td>{html.escape(cell)}</td>" for cell in _cells(service))
        + "</tr>"
        for service in report.services
    )
    notes = "".join(f"<p>{html.escape(note)}</p>" for note in _notes(report))
    pictures = "".join(_picture(service) for service in report.services)
    title = html.escape(f"Workspace {report.workspace}")
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>body{{font-family:sans-serif}}"
        f"td,th{{padding:0.2em 1em;text-align:right}}</style></head><body>"
        f"<h1>{title}</h1><table><tr>{head}</tr>{rows}</table>"
        f"{notes}{pictures}</body></html>\n"
    )


def _cells(service: ServiceReport) -> tuple[str, ...]:
    return (
        service.service,
        format(service.requests, ".0f"),
        format(service.completed_share, ".4%"),
        format(service.mean_seconds * 1000.0, ".1f"),
        format(service.imbalance.maximum_over_mean, ".3f"),
        format(service.imbalance.coefficient_of_variation, ".3f"),
    )


def _notes(report: WorkspaceReport) -> list[str]:
    notes = [
        f"{report.cost.entry_hosts} entry hosts, shared by all workspaces; "
        f"{report.cost.connections_opened:.0f} connections opened to targets and "
        f"{report.cost.platform_calls:.0f} calls to the platform since the start.",
        NOT_COUNTED,
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


def _picture(service: ServiceReport) -> str:
    figure = Figure(figsize=(7.0, 3.0), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(f"{service.service}: busy seconds by target")
    names = [each.target for each in service.targets]
    axes.barh(names, [each.busy_seconds for each in service.targets])
    drawn = io.StringIO()
    figure.savefig(drawn, format="svg", metadata={"Date": None})
    text = drawn.getvalue()
    return text[text.index("<svg") :]
