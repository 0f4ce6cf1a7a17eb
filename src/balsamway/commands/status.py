"""Shows the version in force at each entry host."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import msgspec
from absl import flags
from rich.console import Console
from rich.table import Table

from balsamway.commands._operator_listeners import (
    HostStatus,
    query_hosts,
    read_entry_hosts,
)
from balsamway.commands._platform import (
    define_platform_flag,
    open_store,
    platform_address,
)
from balsamway.commands.subcommand import EXIT_ERROR, EXIT_OK, EXIT_UNMET, Subcommand
from balsamway.configuration.codec import (
    Malformed,
    decode_configuration,
    decode_workspaces,
)
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.store import StoredObject, Unavailable

if TYPE_CHECKING:
    from balsamway.store import Store


def run(arguments: list[str]) -> int:
    """Print the version in force for each host and workspace.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    return asyncio.run(_query_and_print(platform_address(parsed), parsed.flags.json))


def _define_flags(values: flags.FlagValues) -> None:
    define_platform_flag(values)
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


async def _query_and_print(platform: str, as_json: bool) -> int:
    hosts = await read_entry_hosts(platform)
    if isinstance(hosts, Unavailable):
        print(f"balsamway status: the host list: {hosts.reason}", file=sys.stderr)
        return EXIT_ERROR
    async with open_store(platform) as store:
        accepted = await _accepted_versions(store)
    statuses = await query_hosts(hosts)
    _print_statuses(statuses, accepted, as_json)
    return _exit_code(statuses, accepted)


async def _accepted_versions(store: Store) -> dict[str, int]:
    index = await store.read(WORKSPACES_OBJECT)
    if not isinstance(index, StoredObject):
        return {}
    workspaces = decode_workspaces(index.body)
    if isinstance(workspaces, Malformed):
        return {}
    versions = {}
    for workspace in workspaces:
        found = await store.read(f"configuration/{workspace}")
        if isinstance(found, StoredObject):
            configuration = decode_configuration(found.body, workspace)
            if not isinstance(configuration, Malformed):
                versions[workspace] = configuration.version
    return versions


def _exit_code(statuses: list[HostStatus], accepted: dict[str, int]) -> int:
    if any(status.health is None for status in statuses):
        return EXIT_ERROR
    return (
        EXIT_OK
        if all(_is_current(status, accepted) for status in statuses)
        else EXIT_UNMET
    )


def _is_current(status: HostStatus, accepted: dict[str, int]) -> bool:
    in_force = {} if status.health is None else status.health.configurations
    return all(in_force.get(name, 0) >= accepted[name] for name in accepted)


def _print_statuses(
    statuses: list[HostStatus], accepted: dict[str, int], as_json: bool
) -> None:
    if as_json:
        document = {"accepted": accepted, "hosts": statuses}
        print(msgspec.json.encode(document).decode())
        return
    table = Table("host", "zone", "state", *accepted, "")
    for status in statuses:
        table.add_row(*_row(status, accepted))
    table.add_section()
    table.add_row("accepted", "", "", *map(str, accepted.values()), "")
    Console().print(table)


def _row(status: HostStatus, accepted: dict[str, int]) -> list[str]:
    health = status.health
    if health is None:
        cells = ["" for _ in accepted]
        return [status.host, status.zone, "unreached", *cells, status.reason]
    state = "stopping" if health.stopping else "ready" if health.ready else "not ready"
    cells = [str(health.configurations.get(name, 0)) for name in accepted]
    note = "" if _is_current(status, accepted) else "behind"
    return [status.host, status.zone, state, *cells, note]


SUBCOMMAND = Subcommand(
    "status",
    "--platform URL [--json]",
    "Shows the version in force at each entry host, beside those accepted.\n"
    "Exits with 0 if every host has them, 1 if one is behind, 2 if the\n"
    "platform or a host was not reached.",
    _define_flags,
)
