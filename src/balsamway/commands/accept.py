"""Accepts the configuration that a questionnaire gives."""

from __future__ import annotations

import asyncio
import random
import sys

import msgspec
from absl import flags

from balsamway.commands._answers import generate_from
from balsamway.commands._platform import define_platform, open_store, platform_of
from balsamway.commands._reviewed import read_configuration
from balsamway.commands.verb import FINE, NOT_DONE, NOT_MET, Arguments, UsageError, Verb
from balsamway.configuration import WorkspaceConfiguration
from balsamway.configuration.acceptance import UNKNOWN_WRITE_TIMEOUT_SECONDS, Acceptance
from balsamway.configuration.acceptance_result import (
    AcceptConflict,
    Accepted,
    AcceptRefused,
    AcceptResult,
    AcceptUnknown,
)
from balsamway.configuration.difference import difference


def run(arguments: list[str]) -> int:
    """Accepts a configuration and tells whether it took effect.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    if parsed.flags.base is None:
        raise UsageError("--base VERSION is needed; `balsamway diff` tells it")
    generated = generate_from(parsed.words[0])
    if generated is None:
        return NOT_MET
    offered = generated.configuration
    if not _is_reviewed(offered, parsed.flags.reviewed):
        return NOT_MET
    result = asyncio.run(_accept(offered, parsed))
    return _report(offered, result, parsed.flags.json)


def _define(values: flags.FlagValues) -> None:
    define_platform(values)
    flags.DEFINE_integer(
        "base", None, "The version that was reviewed; 0: none.", flag_values=values
    )
    flags.DEFINE_string(
        "reviewed", None, "The generated file that was reviewed.", flag_values=values
    )
    flags.DEFINE_float(
        "settle_seconds",
        UNKNOWN_WRITE_TIMEOUT_SECONDS,
        "How long to find out what a lost answer was.",
        flag_values=values,
    )
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


def _is_reviewed(offered: WorkspaceConfiguration, path: str | None) -> bool:
    if path is None:
        return True
    changes = difference(read_configuration(path), offered)
    for change in changes:
        print(f"differs from what was reviewed: {change}", file=sys.stderr)
    return not changes


async def _accept(offered: WorkspaceConfiguration, parsed: Arguments) -> AcceptResult:
    async with open_store(platform_of(parsed)) as store:
        acceptance = Acceptance(
            store, random.SystemRandom(), parsed.flags.settle_seconds
        )
        return await acceptance.accept(offered, parsed.flags.base)


def _report(
    offered: WorkspaceConfiguration, result: AcceptResult, as_json: bool
) -> int:
    if as_json:
        document = {"result": type(result).__name__, **msgspec.to_builtins(result)}
        print(msgspec.json.encode(document).decode())
    else:
        print("\n".join(_lines(offered.workspace, result)))
    return FINE if isinstance(result, Accepted) else _status(result)


def _status(result: AcceptResult) -> int:
    return NOT_MET if isinstance(result, AcceptConflict) else NOT_DONE


def _lines(workspace: str, result: AcceptResult) -> list[str]:
    match result:
        case Accepted(version=version):
            return [f"accepted: {workspace} version {version}"]
        case AcceptConflict(base=base, version=version, changes=changes):
            return [
                f"conflict: {workspace} is at version {version}, reviewed was {base};"
                " nothing changed",
                "from what is there to what was offered:",
                *(f"  {change}" for change in changes),
            ]
        case AcceptRefused(reason=reason):
            return [f"refused, not in effect: {reason}"]
        case AcceptUnknown(change_id=change_id, reason=reason):
            return [f"unknown, may take effect: change {change_id}: {reason}"]


VERB = Verb(
    "accept",
    "QUESTIONNAIRE --base VERSION --platform URL [--reviewed FILE]",
    "Accepts the configuration that a questionnaire gives, if the version in\n"
    "force is still the one that was reviewed.\n"
    "Exits with 0 if it is accepted, 1 for a conflict or problems, and 2 if it\n"
    "was refused (not in effect) or its end is unknown (may take effect).",
    _define,
    fewest_words=1,
    most_words=1,
)
