"""Explains one request from the logs of the entry hosts."""

from __future__ import annotations

import datetime
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from balsamway.commands.subcommand import EXIT_ERROR, EXIT_OK, Subcommand
from balsamway.forwarding.target_rest import MAX_REST_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from absl import flags

SECONDS_BEFORE = 3.0
"""How long before a request's start related entries are printed."""
LASTING_SECONDS_BEFORE = MAX_REST_SECONDS
"""The same for events whose effect lasts; no rest is longer."""
SECONDS_AFTER = 0.5
"""How long after a request's end related entries are printed."""
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
HOST_EVENTS = frozenset(
    {
        "configuration-adopted",
        "configuration-partly-unreadable",
        "draining",
        "keys-taken-over",
        "leadership-lost",
        "leadership-taken",
        "store-lost",
        "store-regained",
        "zone-evacuated",
        "zone-evacuation-ended",
        "zone-evacuation-held",
    }
)
"""Events that affect every request on the host where they occur."""
LASTING_EVENTS = frozenset({"target-leaving", "target-rests", "zone-evacuated"})
"""Events that keep a host from sending to a target for a longer time."""
EVENTS_OF_OWN_HOST = frozenset(
    {"target-leaving", "target-rested", "target-rests", "target-seen"}
)
"""Events that tell what one host knows of a target."""
HIDDEN_FIELDS = frozenset({"time", "level", "logger", "event", "host", "zone"})
"""Fields that are not printed after the event."""


def run(arguments: list[str]) -> int:
    """Print the log entries that explain a request, in order of time.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    request_id, *names = parsed.positionals
    try:
        entries = [entry for line in _read_lines(names) if (entry := read_entry(line))]
    except OSError as error:
        print(f"balsamway explain: {error}", file=sys.stderr)
        return EXIT_ERROR
    related_entries = explain(request_id, entries)
    if not related_entries:
        print(f"balsamway explain: no line names {request_id}", file=sys.stderr)
        return EXIT_ERROR
    for entry in related_entries:
        print(_format_entry(entry))
    return EXIT_OK


def read_entry(line: str) -> dict[str, Any] | None:
    """Parse a log line.

    Args:
        line: A log line; any text before its JSON is ignored.

    Returns:
        The fields of the entry, or None if the line contains no log entry.
    """
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        entry = json.loads(line[begin:])
    except json.JSONDecodeError:
        return None
    return entry if isinstance(entry, dict) and "event" in entry else None


def explain(request_id: str, entries: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the entries that explain a request.

    Args:
        request_id: The request's id.
        entries: The entries of all hosts, in any order.

    Returns:
        The request's own entries, and those about its targets, its key and
        its host from shortly before its start to shortly after its end, in
        order of time. For a request in quarantine also the earlier ends of
        targets under it.
    """
    entries = list(entries)
    own = [entry for entry in entries if entry.get("request_id") == request_id]
    if not own:
        return []
    last = max(_timestamp(entry) for entry in own)
    first = last - max(float(entry.get("ms", 0.0)) for entry in own) / 1000
    targets = {
        attempt["target"] for entry in own for attempt in entry.get("attempts", ())
    }
    targets.update(str(entry.get("detail", "")).split(" ")[0] for entry in own)
    hosts = {entry.get("host") for entry in own}
    keys = {entry["key"] for entry in own if entry.get("key") is not None}
    suspects = {entry["fingerprint"] for entry in own if "fingerprint" in entry}
    related = [
        entry
        for entry in entries
        if entry in own
        or (_timestamp(entry) <= last and _has_ended_under(entry, suspects))
        or (
            first - _seconds_before(entry) <= _timestamp(entry) <= last + SECONDS_AFTER
            and _is_related(entry, targets, hosts, keys)
        )
    ]
    return sorted(related, key=_timestamp)


def _seconds_before(entry: dict[str, Any]) -> float:
    if entry["event"] in LASTING_EVENTS:
        return LASTING_SECONDS_BEFORE
    return SECONDS_BEFORE


def _is_related(
    entry: dict[str, Any], targets: set[str], hosts: set[Any], keys: set[int]
) -> bool:
    event = entry["event"]
    if event in HOST_EVENTS:
        return entry.get("host") in hosts or event.startswith("leadership")
    if event == "keys-vacated":
        return any(entry["first"] <= key <= entry["last"] for key in keys)
    if event == "keys-moved":
        return any(_contains(move, key) for move in entry["moves"] for key in keys)
    if event in EVENTS_OF_OWN_HOST and entry.get("host") not in hosts:
        return False
    return event.startswith("target-") and entry.get("target") in targets


def _has_ended_under(entry: dict[str, Any], suspects: set[str]) -> bool:
    """Return whether a target ended under one of the fingerprints."""
    return entry["event"] == "target-ended" and not suspects.isdisjoint(
        entry.get("under", ())
    )


def _contains(move: str, key: int) -> bool:
    first, _, last = move.partition(">")[0].partition("-")
    return int(first) <= key <= int(last)


def _timestamp(entry: dict[str, Any]) -> float:
    parsed_time = datetime.datetime.strptime(entry["time"], TIME_FORMAT)
    return parsed_time.replace(tzinfo=datetime.UTC).timestamp()


def _format_entry(entry: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in entry.items()
        if name not in HIDDEN_FIELDS
    )
    return f"{entry['time']} {entry.get('host', '-')} {entry['event']} {fields}"


def _read_lines(names: list[str]) -> Iterator[str]:
    if not names:
        yield from sys.stdin
    for name in names:
        with Path(name).open(encoding="utf-8", errors="replace") as stream:
            yield from stream


def _define_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


SUBCOMMAND = Subcommand(
    "explain",
    "REQUEST_ID [LOG_FILE ...]",
    "Prints what the logs of the entry hosts tell of a request, in the order\n"
    "of time; from standard input where no file is named. Exits with 0, or\n"
    "with 2 if no line names the request.",
    _define_flags,
    min_arguments=1,
    max_arguments=1_000,
)
