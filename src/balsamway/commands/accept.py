"""Accepts the configuration that a questionnaire gives."""

from __future__ import annotations

import asyncio
import random
import sys

import msgspec
from absl import flags

from balsamway.commands._configuration_files import read_configuration
from balsamway.commands._platform import (
    define_platform_flag,
    open_store,
    platform_address,
)
from balsamway.commands._questionnaires import generate_from_file
from balsamway.commands.subcommand import (
    EXIT_ERROR,
    EXIT_OK,
    EXIT_UNMET,
    Arguments,
    Subcommand,
    UsageError,
)
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
    """Accept a configuration and print whether it took effect.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    if parsed.flags.base is None:
        raise UsageError("--base VERSION is needed; `balsamway diff` prints it")
    generated = generate_from_file(parsed.positionals[0])
    if generated is None:
        return EXIT_UNMET
    offered = generated.configuration
    if not _matches_reviewed(offered, parsed.flags.reviewed):
        return EXIT_UNMET
    result = asyncio.run(_accept(offered, parsed))
    return _print_result(offered, result, parsed.flags.json)


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flag(values)
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


def _matches_reviewed(offered: WorkspaceConfiguration, path: str | None) -> bool:
    if path is None:
        return True
    changes = difference(read_configuration(path), offered)
    for change in changes:
        print(f"differs from what was reviewed: {change}", file=sys.stderr)
    return not changes


async def _accept(offered: WorkspaceConfiguration, parsed: Arguments) -> AcceptResult:
    async with open_store(platform_address(parsed)) as store:
        acceptance = Acceptance(
            store, random.SystemRandom(), parsed.flags.settle_seconds
        )
        return await acceptance.accept(offered, parsed.flags.base)


def _print_result(
    offered: WorkspaceConfiguration, result: AcceptResult, as_json: bool
) -> int:
    if as_json:
        document = {"result": type(result).__name__, **msgspec.to_builtins(result)}
        print(msgspec.json.encode(document).decode())
    else:
        print("\n".join(_format_result(offered.workspace, result)))
    return EXIT_OK if isinstance(result, Accepted) else _exit_code(result)


def _exit_code(result: AcceptResult) -> int:
    return EXIT_UNMET if isinstance(result, AcceptConflict) else EXIT_ERROR


def _format_result(workspace: str, result: AcceptResult) -> list[str]:
    match result:
        case Accepted(version=version):
            return [f"accepted: {workspace} version {version}"]
        case AcceptConflict(base=base, version=version, changes=changes):
            return [
                f"conflict: {workspace} is at version {version}, reviewed was {base};"
                " nothing changed",
                "changes from the stored to the offered configuration:",
                *(f"  {change}" for change in changes),
            ]
        case AcceptRefused(reason=reason):
            return [f"refused, not in effect: {reason}"]
        case AcceptUnknown(change_id=change_id, reason=reason):
            return [f"unknown, may take effect: change {change_id}: {reason}"]


SUBCOMMAND = Subcommand(
    "accept",
    "QUESTIONNAIRE --base VERSION --platform URL [--reviewed FILE]",
    "Accepts the configuration that a questionnaire gives, if the version in\n"
    "force is still the one that was reviewed.\n"
    "Exits with 0 if it is accepted, 1 for a conflict or problems, and 2 if it\n"
    "was refused (not in effect) or its end is unknown (may take effect).",
    _define_flags,
    min_arguments=1,
    max_arguments=1,
)
