"""Prints the whole state of a daemon."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING

from balsamway.commands._operator_listeners import read_state
from balsamway.commands.subcommand import EXIT_ERROR, EXIT_OK, Subcommand
from balsamway.store import Unavailable

if TYPE_CHECKING:
    from absl import flags


def run(arguments: list[str]) -> int:
    """Print the state of a daemon as JSON.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    state = asyncio.run(read_state(parsed.positionals[0]))
    if isinstance(state, Unavailable):
        print(f"balsamway dump: {state.reason}", file=sys.stderr)
        return EXIT_ERROR
    print(json.dumps(json.loads(state), indent=2))
    return EXIT_OK


def _define_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


SUBCOMMAND = Subcommand(
    "dump",
    "IP:PORT",
    "Prints the whole state of the daemon whose operator listener is named.\n"
    "Exits with 0, or with 2 if it was not reached.",
    _define_flags,
    min_arguments=1,
    max_arguments=1,
)
