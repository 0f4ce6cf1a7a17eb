"""Prints the whole state of a daemon."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING

from balsamway.commands._operators import read_state
from balsamway.commands.verb import FINE, NOT_DONE, Verb
from balsamway.store import Unavailable

if TYPE_CHECKING:
    from absl import flags


def run(arguments: list[str]) -> int:
    """Prints the state of a daemon as JSON.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    state = asyncio.run(read_state(parsed.words[0]))
    if isinstance(state, Unavailable):
        print(f"balsamway dump: {state.reason}", file=sys.stderr)
        return NOT_DONE
    print(json.dumps(json.loads(state), indent=2))
    return FINE


def _define(values: flags.FlagValues) -> None:
    """Defines no flags."""


VERB = Verb(
    "dump",
    "IP:PORT",
    "Prints the whole state of the daemon whose operator listener is named.\n"
    "Exits with 0, or with 2 if it was not reached.",
    _define,
    fewest_words=1,
    most_words=1,
)
