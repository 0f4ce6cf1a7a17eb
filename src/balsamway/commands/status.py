"""Shows the version in force at each entry host."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import msgspec
from absl import flags
from rich.console import Console
from rich.table import Table

from balsamway.commands._operators import HostReport, ask_all, read_entry_hosts
from balsamway.commands._platform import define_platform, open_store, platform_of
from balsamway.commands.verb import FINE, NOT_DONE, NOT_MET, Verb
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
    """Prints the version in force for each host and workspace.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    return asyncio.run(_run(platform_of(parsed), parsed.flags.json))


def _define(values: flags.FlagValues) -> None:
    define_platform(values)
    flags.DEFINE_boolean("json", False, "Prints JSON.", flag_values=values)


async def _run(platform: str, as_json: bool) -> int:
    hosts = await read_entry_hosts(platform)
    if isinstance(hosts, Unavailable):
        print(f"balsamway status: the host list: {hosts.reason}", file=sys.stderr)
        return NOT_DONE
    async with open_store(platform) as store:
        accepted = await _accepted_versions(store)
    reports = await ask_all(hosts)
    _show(reports, accepted, as_json)
    return _exit_status(reports, accepted)


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


def _exit_status(reports: list[HostReport], accepted: dict[str, int]) -> int:
    if any(report.health is None for report in reports):
        return NOT_DONE
    return FINE if all(_is_current(report, accepted) for report in reports) else NOT_MET


def _is_current(report: HostReport, accepted: dict[str, int]) -> bool:
    in_force = {} if report.health is None else report.health.configurations
    return all(in_force.get(name, 0) >= accepted[name] for name in accepted)


def _show(reports: list[HostReport], accepted: dict[str, int], as_json: bool) -> None:
    if as_json:
        document = {"accepted": accepted, "hosts": reports}
        print(msgspec.json.encode(document).decode())
        return
    table = Table("host", "zone", "state", *accepted, "")
    for report in reports:
        table.add_row(*_row(report, accepted))
    table.add_section()
    table.add_row("accepted", "", "", *map(str, accepted.values()), "")
    Console().print(table)


def _row(report: HostReport, accepted: dict[str, int]) -> list[str]:
    health = report.health
    if health is None:
        cells = ["" for _ in accepted]
        return [report.host, report.zone, "unreached", *cells, report.reason]
    state = "stopping" if health.stopping else "ready" if health.ready else "not ready"
    cells = [str(health.configurations.get(name, 0)) for name in accepted]
    note = "" if _is_current(report, accepted) else "behind"
    return [report.host, report.zone, state, *cells, note]


VERB = Verb(
    "status",
    "--platform URL [--json]",
    "Shows the version in force at each entry host, beside those accepted.\n"
    "Exits with 0 if every host has them, 1 if one is behind, 2 if the\n"
    "platform or a host was not reached.",
    _define,
)
