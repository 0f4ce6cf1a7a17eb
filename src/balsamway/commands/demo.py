"""Runs both workspaces' deployments on embedded stand-ins, and checks them."""

from __future__ import annotations

import asyncio
import logging
import sys
from importlib.resources import files
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from absl import flags
from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn

from balsamway.commands._questionnaires import generate_from_file
from balsamway.commands.subcommand import EXIT_ERROR, EXIT_OK, EXIT_UNMET, Subcommand
from balsamway.demo.board_table import event_table, workspace_table
from balsamway.demo.demo_run import run_demo
from balsamway.demo.deployment import NotReadyError

if TYPE_CHECKING:
    from balsamway.demo.demo_result import DemoResult

QUESTIONNAIRES = ("tapaderas.json5", "groyne-repair.json5")
REQUESTS_PER_SECOND = 40.0
"""The default load of each workspace."""


def run(arguments: list[str]) -> int:
    """Run a demonstration.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    logging.basicConfig(level=logging.CRITICAL)
    generated = [
        generate_from_file(path)
        for path in parsed.positionals or _bundled_questionnaires()
    ]
    configurations = [each.configuration for each in generated if each is not None]
    if len(configurations) < len(generated):
        return EXIT_UNMET
    console = Console(stderr=parsed.flags.json)
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console) as progress:
        task = progress.add_task("", total=None)

        def report_progress(text: str) -> None:
            progress.update(task, description=text)
            if not console.is_terminal:
                console.print(text)

        demo = run_demo(
            configurations,
            parsed.flags.seed,
            parsed.flags.requests_per_second,
            report_progress,
        )
        try:
            result = asyncio.run(demo)
        except NotReadyError as error:
            print(f"balsamway demo: {error}", file=sys.stderr)
            return EXIT_ERROR
    _print_result(console, result)
    if parsed.flags.json:
        print(msgspec.json.encode(result.document).decode())
    return EXIT_UNMET if result.violations else EXIT_OK


def _bundled_questionnaires() -> tuple[str, ...]:
    folder = Path(str(files("balsamway.demo.questionnaires")))
    return tuple(str(folder / name) for name in QUESTIONNAIRES)


def _print_result(console: Console, result: DemoResult) -> None:
    console.print(workspace_table(result))
    console.print(event_table(result))
    for violation in result.violations:
        console.print(f"does not hold: {violation.invariant}: {violation.detail}")
    if not result.violations:
        console.print("Everything that must always hold did hold.")


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_boolean("json", False, "Ends with a line of JSON.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seeds the random choices.", flag_values=values)
    flags.DEFINE_float(
        "requests_per_second",
        REQUESTS_PER_SECOND,
        "The load of each workspace.",
        flag_values=values,
    )


SUBCOMMAND = Subcommand(
    "demo",
    "[QUESTIONNAIRE ...] [--json]",
    "Starts a platform stand-in and each workspace's entry hosts, targets and\n"
    "callers in this process; takes them through hot keys, the loss of a\n"
    "target, a planned stop and an accepted change; checks the journals.\n"
    "Exits with 0 if everything that must always hold did, 1 if not, and 2 if\n"
    "the deployment did not come to serve.",
    _define_flags,
    max_arguments=8,
)
