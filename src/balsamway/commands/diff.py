"""Shows what a change of answers changes in the configuration."""

from __future__ import annotations

import asyncio
import sys

import msgspec
from absl import flags

from balsamway.commands._answers import generate_from
from balsamway.commands._platform import define_platform, open_store, platform_of
from balsamway.commands.verb import FINE, NOT_DONE, NOT_MET, Arguments, Verb
from balsamway.configuration import WorkspaceConfiguration
from balsamway.configuration.change import Change
from balsamway.configuration.codec import decode_configuration
from balsamway.configuration.difference import difference
from balsamway.outcome import Malformed
from balsamway.store import Absent, StoredObject, Unavailable


def run(arguments: list[str]) -> int:
    """Prints the differences between two configurations.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    after = generate_from(parsed.words[-1])
    if after is None:
        return NOT_MET
    if len(parsed.words) == 1:
        return asyncio.run(_against_stored(after.configuration, parsed))
    before = generate_from(parsed.words[0])
    if before is None:
        return NOT_MET
    _show(difference(before.configuration, after.configuration), None, parsed)
    return FINE


def _define(values: flags.FlagValues) -> None:
    define_platform(values)
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


async def _against_stored(after: WorkspaceConfiguration, parsed: Arguments) -> int:
    async with open_store(platform_of(parsed)) as store:
        found = await store.read(after.object_name)
    match _current(found, after.workspace):
        case Malformed(reason=reason) | Unavailable(reason=reason):
            print(f"balsamway diff: {reason}", file=sys.stderr)
            return NOT_DONE
        case current:
            version = 0 if current is None else current.version
            _show(difference(current, after), version, parsed)
            return FINE


def _current(
    found: StoredObject | Absent | Unavailable, workspace: str
) -> WorkspaceConfiguration | Malformed | Unavailable | None:
    match found:
        case StoredObject(body=body):
            return decode_configuration(body, workspace)
        case Absent():
            return None
        case Unavailable():
            return found


def _show(changes: tuple[Change, ...], base: int | None, parsed: Arguments) -> None:
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


VERB = Verb(
    "diff",
    "[BEFORE] AFTER [--platform URL] [--json]",
    "Shows the differences between the configurations of two questionnaires,\n"
    "or from the one accepted in the store to that of a questionnaire.\n"
    "Exits with 0, with 1 if answers have problems, 2 if nothing was reached.",
    _define,
    fewest_words=1,
    most_words=2,
)
