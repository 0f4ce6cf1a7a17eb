"""Reports a workspace's balance, refusals and cost from metrics."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
from absl import flags
from rich.console import Console

from balsamway.commands._operator_listeners import read_entry_hosts, read_metrics
from balsamway.commands._platform import define_platform_flag, platform_address
from balsamway.commands.subcommand import (
    EXIT_ERROR,
    EXIT_OK,
    EXIT_UNMET,
    Subcommand,
    UsageError,
)
from balsamway.observe.report import WorkspaceReport, build_report
from balsamway.observe.report.presentation import report_page, report_table
from balsamway.store import Unavailable


def run(arguments: list[str]) -> int:
    """Print the report of a workspace.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    if not parsed.flags.workspace:
        raise UsageError("--workspace NAME is needed")
    report = asyncio.run(
        _query_report(platform_address(parsed), parsed.flags.workspace)
    )
    if isinstance(report, Unavailable):
        print(f"balsamway report: the host list: {report.reason}", file=sys.stderr)
        return EXIT_ERROR
    if parsed.flags.html:
        _write_page(Path(parsed.flags.html), report)
    if parsed.flags.json:
        print(msgspec.json.encode(report).decode())
    else:
        Console().print(report_table(report))
    if report.hosts_unreached or not report.hosts_asked:
        return EXIT_ERROR
    return EXIT_OK if report.services else EXIT_UNMET


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flag(values)
    flags.DEFINE_string("workspace", None, "The workspace's name.", flag_values=values)
    flags.DEFINE_string("html", None, "A file for the page.", flag_values=values)
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


async def _query_report(platform: str, workspace: str) -> WorkspaceReport | Unavailable:
    hosts = await read_entry_hosts(platform)
    if isinstance(hosts, Unavailable):
        return hosts
    pages = await read_metrics(hosts)
    reached = {name: page for name, page in pages.items() if isinstance(page, str)}
    unreached = tuple(name for name in sorted(pages) if name not in reached)
    return build_report(workspace, reached, unreached)


def _write_page(path: Path, report: WorkspaceReport) -> None:
    try:
        path.write_text(report_page(report), encoding="utf-8")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


SUBCOMMAND = Subcommand(
    "report",
    "--platform URL --workspace NAME [--json] [--html FILE]",
    "Reports how evenly a workspace's targets were busy, which requests were not\n"
    "completed, and what the system cost, from the metrics of all entry hosts.\n"
    "Exits with 0, 1 if no host knows a request of the workspace, 2 if the\n"
    "platform or a host was not reached.",
    _define_flags,
)
