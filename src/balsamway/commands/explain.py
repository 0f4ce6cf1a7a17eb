"""Tells the story of one request from the logs of the entry hosts."""

from __future__ import annotations

import datetime
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from balsamway.commands.verb import FINE, NOT_DONE, Verb

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from absl import flags

BEFORE_SECONDS = 3.0
"""How long before a request what happened to its targets is told."""
AFTER_SECONDS = 0.5
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
HOST_EVENTS = frozenset(
    {
        "configuration-adopted",
        "draining",
        "keys-taken-over",
        "leadership-lost",
        "leadership-taken",
        "store-lost",
        "store-regained",
    }
)
"""Events that concern every request at the host where they happened."""
HIDDEN = frozenset({"time", "level", "logger", "event", "host", "zone"})


def run(arguments: list[str]) -> int:
    """Prints the lines that explain a request, in the order of time.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    request_id, *names = parsed.words
    try:
        entries = [entry for line in _lines(names) if (entry := read_entry(line))]
    except OSError as error:
        print(f"balsamway explain: {error}", file=sys.stderr)
        return NOT_DONE
    story = explain(request_id, entries)
    if not story:
        print(f"balsamway explain: no line names {request_id}", file=sys.stderr)
        return NOT_DONE
    for entry in story:
        print(_shown(entry))
    return FINE


def read_entry(line: str) -> dict[str, Any] | None:
    """Reads a log line.

    Args:
        line: A line, of which what stands before its JSON is left out.

    Returns:
        Its fields, or None if it is no log line.
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
    """Chooses the entries that explain a request.

    Args:
        request_id: The request's id.
        entries: The entries of all hosts, in any order.

    Returns:
        The request's own entries, and those that tell shortly before what
        happened to its targets, to its key and to its host.
    """
    entries = list(entries)
    own = [entry for entry in entries if entry.get("request_id") == request_id]
    if not own:
        return []
    last = max(_seconds(entry) for entry in own)
    first = last - max(float(entry.get("ms", 0.0)) for entry in own) / 1000
    targets = {
        attempt["target"] for entry in own for attempt in entry.get("attempts", ())
    }
    targets.update(str(entry.get("detail", "")).split(" ")[0] for entry in own)
    hosts = {entry.get("host") for entry in own}
    keys = {entry["key"] for entry in own if entry.get("key") is not None}
    found = [
        entry
        for entry in entries
        if entry in own
        or (
            first - BEFORE_SECONDS <= _seconds(entry) <= last + AFTER_SECONDS
            and _concerns(entry, targets, hosts, keys)
        )
    ]
    return sorted(found, key=_seconds)


def _concerns(
    entry: dict[str, Any], targets: set[str], hosts: set[Any], keys: set[int]
) -> bool:
    event = entry["event"]
    if event in HOST_EVENTS:
        return entry.get("host") in hosts or event.startswith("leadership")
    if event == "keys-vacated":
        return any(entry["first"] <= key <= entry["last"] for key in keys)
    if event == "keys-moved":
        return any(_covers(move, key) for move in entry["moves"] for key in keys)
    if event == "target-seen" and entry.get("host") not in hosts:
        return False
    return event.startswith("target-") and entry.get("target") in targets


def _covers(move: str, key: int) -> bool:
    first, _, last = move.partition(">")[0].partition("-")
    return int(first) <= key <= int(last)


def _seconds(entry: dict[str, Any]) -> float:
    found = datetime.datetime.strptime(entry["time"], TIME_FORMAT)
    return found.replace(tzinfo=datetime.UTC).timestamp()


def _shown(entry: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in entry.items()
        if name not in HIDDEN
    )
    return f"{entry['time']} {entry.get('host', '-')} {entry['event']} {fields}"


def _lines(names: list[str]) -> Iterator[str]:
    if not names:
        yield from sys.stdin
    for name in names:
        with Path(name).open(encoding="utf-8", errors="replace") as stream:
            yield from stream


def _define(values: flags.FlagValues) -> None:
    """Defines no flags."""


VERB = Verb(
    "explain",
    "REQUEST_ID [LOG_FILE ...]",
    "Prints what the logs of the entry hosts tell of a request, in the order\n"
    "of time; from standard input where no file is named. Exits with 0, or\n"
    "with 2 if no line names the request.",
    _define,
    fewest_words=1,
    most_words=1_000,
)
