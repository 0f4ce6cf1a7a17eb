"""Shows what a change of answers changes in the configuration."""

from __future__ import annotations

import asyncio
import sys

import msgspec
from absl import flags

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
)
from balsamway.configuration import WorkspaceConfiguration
from balsamway.configuration.change import Change
from balsamway.configuration.codec import decode_configuration
from balsamway.configuration.difference import difference
from balsamway.outcome import Malformed
from balsamway.store import Absent, StoredObject, Unavailable


def run(arguments: list[str]) -> int:
    """Print the differences between two configurations.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    after = generate_from_file(parsed.positionals[-1])
    if after is None:
        return EXIT_UNMET
    if len(parsed.positionals) == 1:
        return asyncio.run(_compare_with_stored(after.configuration, parsed))
    before = generate_from_file(parsed.positionals[0])
    if before is None:
        return EXIT_UNMET
    _print_changes(difference(before.configuration, after.configuration), None, parsed)
    return EXIT_OK


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flag(values)
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


async def _compare_with_stored(after: WorkspaceConfiguration, parsed: Arguments) -> int:
    async with open_store(platform_address(parsed)) as store:
        found = await store.read(after.object_name)
    match _decode_stored(found, after.workspace):
        case Malformed(reason=reason) | Unavailable(reason=reason):
            print(f"balsamway diff: {reason}", file=sys.stderr)
            return EXIT_ERROR
        case current:
            version = 0 if current is None else current.version
            _print_changes(difference(current, after), version, parsed)
            return EXIT_OK


def _decode_stored(
    found: StoredObject | Absent | Unavailable, workspace: str
) -> WorkspaceConfiguration | Malformed | Unavailable | None:
    match found:
        case StoredObject(body=body):
            return decode_configuration(body, workspace)
        case Absent():
            return None
        case Unavailable():
            return found


def _print_changes(
    changes: tuple[Change, ...], base: int | None, parsed: Arguments
) -> None:
    if parsed.flags.json:
        document = {"base": base, "changes": changes}
        print(msgspec.json.encode(document).decode())
        return
    for change in changes:
        print(change)
    if not changes:
        print("no difference")
    if base is not None:
        print(f"accept with --base {base}")


SUBCOMMAND = Subcommand(
    "diff",
    "[BEFORE] AFTER [--platform URL] [--json]",
    "Shows the differences between the configurations of two questionnaires,\n"
    "or from the one accepted in the store to that of a questionnaire.\n"
    "Exits with 0, with 1 if answers have problems, 2 if nothing was reached.",
    _define_flags,
    min_arguments=1,
    max_arguments=2,
)
