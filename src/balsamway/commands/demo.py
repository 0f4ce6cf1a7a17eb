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

from balsamway.commands._answers import generate_from
from balsamway.commands.verb import FINE, NOT_DONE, NOT_MET, Verb
from balsamway.demo.board_table import event_table, workspace_table
from balsamway.demo.demo_run import run_demo
from balsamway.demo.deployment import NotReadyError

if TYPE_CHECKING:
    from balsamway.demo.demo_result import DemoResult

QUESTIONNAIRES = ("tapaderas.json5", "groyne-repair.json5")
REQUESTS_PER_SECOND = 40.0


def run(arguments: list[str]) -> int:
    """Runs a demonstration.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    logging.basicConfig(level=logging.CRITICAL)
    generated = [generate_from(path) for path in parsed.words or _own_questionnaires()]
    found = [one.configuration for one in generated if one is not None]
    if len(found) < len(generated):
        return NOT_MET
    console = Console(stderr=parsed.flags.json)
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console) as progress:
        task = progress.add_task("", total=None)

        def tell(text: str) -> None:
            progress.update(task, description=text)
            if not console.is_terminal:
                console.print(text)

        work = run_demo(
            found, parsed.flags.seed, parsed.flags.requests_per_second, tell
        )
        try:
            result = asyncio.run(work)
        except NotReadyError as error:
            print(f"balsamway demo: {error}", file=sys.stderr)
            return NOT_DONE
    _show(console, result)
    if parsed.flags.json:
        print(msgspec.json.encode(result.document).decode())
    return NOT_MET if result.violations else FINE


def _own_questionnaires() -> tuple[str, ...]:
    folder = Path(str(files("balsamway.demo.questionnaires")))
    return tuple(str(folder / name) for name in QUESTIONNAIRES)


def _show(console: Console, result: DemoResult) -> None:
    console.print(workspace_table(result))
    console.print(event_table(result))
    for violation in result.violations:
        console.print(f"does not hold: {violation.invariant}: {violation.detail}")
    if not result.violations:
        console.print("Everything that must always hold did hold.")


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_boolean("json", False, "Ends with a line of JSON.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seeds the random choices.", flag_values=values)
    flags.DEFINE_float(
        "requests_per_second",
        REQUESTS_PER_SECOND,
        "The load of each workspace.",
        flag_values=values,
    )


VERB = Verb(
    "demo",
    "[QUESTIONNAIRE ...] [--json]",
    "Starts a platform stand-in and each workspace's entry hosts, targets and\n"
    "callers in this process; takes them through hot keys, the loss of a\n"
    "target, a planned stop and an accepted change; checks the journals.\n"
    "Exits with 0 if everything that must always hold did, 1 if not, and 2 if\n"
    "the deployment did not come to serve.",
    _define,
    most_words=8,
)
