"""Rules between the answers, which types alone cannot state.

They read the document as decoded, so that they report what they can even
where some of its pieces do not fit their types.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from balsamway.configuration._sizing import gateways_at_most

if TYPE_CHECKING:
    from balsamway.configuration.questionnaire._structure import StructureCheck

LARGEST_ENTRY_HOSTS = 100_000


def check_rules(found: Any, check: StructureCheck) -> None:
    """Reports every rule that the answers break.

    Args:
        found: The document, as decoded from JSON.
        check: Takes the problems.
    """
    if not isinstance(found, dict):
        return
    zones = _objects(found, "zones")
    services = _objects(found, "services")
    for name in ("zones", "services", "tokens_sha256"):
        if found.get(name) == []:
            check.report(name, "an empty array", "at least one entry")
    _check_unique(zones, "zones", check)
    _check_unique(services, "services", check)
    _check_unique_tokens(found.get("tokens_sha256"), check)
    _check_weights(found.get("weights"), check)
    for index, service in services:
        _check_kinds(service, f"services[{index}]", check)
        _check_connections(service, f"services[{index}]", zones, check)


def _objects(found: dict[str, Any], name: str) -> list[tuple[int, dict[str, Any]]]:
    items = found.get(name)
    if not isinstance(items, list):
        return []
    return [(index, item) for index, item in enumerate(items) if isinstance(item, dict)]


def _check_unique(
    items: list[tuple[int, dict[str, Any]]], place: str, check: StructureCheck
) -> None:
    first: dict[str, int] = {}
    for index, item in items:
        name = item.get("name")
        if not isinstance(name, str):
            continue
        if name in first:
            seen = f"{place}[{first[name]}].name"
            check.report(
                f"{place}[{index}].name",
                repr(name),
                f"a name other than that of {seen}",
            )
        first.setdefault(name, index)


def _check_unique_tokens(found: Any, check: StructureCheck) -> None:
    if not isinstance(found, list):
        return
    seen: dict[str, int] = {}
    for index, token_hash in enumerate(found):
        if not isinstance(token_hash, str):
            continue
        if token_hash in seen:
            check.report(
                f"tokens_sha256[{index}]",
                f"the same as tokens_sha256[{seen[token_hash]}]",
                "each hash once",
            )
        seen.setdefault(token_hash, index)


def _check_weights(found: Any, check: StructureCheck) -> None:
    if not isinstance(found, dict):
        return
    if found.get("imbalance", 1.0) == 0 and found.get("unavailable_time", 1.0) == 0:
        check.report("weights", "only zeros", "at least one weight above zero")


def _check_kinds(service: dict[str, Any], place: str, check: StructureCheck) -> None:
    if service.get("kinds") == []:
        check.report(f"{place}.kinds", "an empty array", "at least one kind of request")
    _check_unique(_objects(service, "kinds"), f"{place}.kinds", check)


def _check_connections(
    service: dict[str, Any],
    place: str,
    zones: list[tuple[int, dict[str, Any]]],
    check: StructureCheck,
) -> None:
    connections: Any = service.get("connections")
    counts: list[Any] = [zone.get("entry_hosts") for _, zone in zones]
    if not counts or not all(map(_is_count, [connections, *counts])):
        return
    gateways = gateways_at_most(sum(counts))
    if connections < gateways:
        check.report(
            f"{place}.connections",
            str(connections),
            f"at least {gateways}: one for each entry host and its replacements",
        )


def _is_count(value: Any) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 1 <= value <= LARGEST_ENTRY_HOSTS
