"""Runs a named experiment with the real placement and small fakes."""

from __future__ import annotations

from pathlib import Path

import msgspec
from absl import flags
from rich.console import Console

from balsamway.commands.subcommand import EXIT_OK, EXIT_UNMET, Subcommand, UsageError
from balsamway.observe.experiments import EXPERIMENTS
from balsamway.observe.experiments.presentation import result_table, write_result


def run(arguments: list[str]) -> int:
    """Run an experiment and print its result.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    name = parsed.flags.experiment
    if name not in EXPERIMENTS:
        raise UsageError(f"--experiment is one of: {', '.join(EXPERIMENTS)}")
    result = EXPERIMENTS[name](parsed.flags.seed)
    if parsed.flags.json:
        print(msgspec.json.encode(result).decode())
    else:
        Console().print(result_table(result))
    if parsed.flags.output:
        write_result(result, Path(parsed.flags.output))
    return EXIT_OK if all(goal.met for goal in result.goals) else EXIT_UNMET


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("experiment", None, "Which to run.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "The seed of all draws.", flag_values=values)
    flags.DEFINE_string("output", None, "A folder for files.", flag_values=values)
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


SUBCOMMAND = Subcommand(
    "load",
    "--experiment NAME [--seed N] [--json] [--output FOLDER]",
    "Runs an experiment on placement, with a baseline on the same arrivals:\n"
    f"{', '.join(EXPERIMENTS)}.\n"
    "Exits with 0 if its goals are met, 1 if one is not, 2 on wrong usage.",
    _define_flags,
)
