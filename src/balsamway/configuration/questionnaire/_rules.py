"""Rules between answers, which types alone cannot express.

The rules read the decoded document rather than the typed questionnaire. They
still report broken rules if some values do not fit their types.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from balsamway.configuration._sizing import max_gateways

if TYPE_CHECKING:
    from balsamway.configuration.questionnaire._structure import StructureCheck

MAX_ENTRY_HOSTS = 100_000
"""Greater counts are left to the check of types."""


def check_rules(document: Any, check: StructureCheck) -> None:
    """Report every rule that the answers break.

    Args:
        document: The document as decoded from JSON.
        check: Collects the problems.
    """
    if not isinstance(document, dict):
        return
    zones = _objects(document, "zones")
    services = _objects(document, "services")
    for name in ("zones", "services", "tokens_sha256"):
        if document.get(name) == []:
            check.report(name, "an empty array", "at least one entry")
    _check_unique(zones, "zones", check)
    _check_unique(services, "services", check)
    _check_unique_tokens(document.get("tokens_sha256"), check)
    _check_weights(document.get("weights"), check)
    for index, service in services:
        _check_kinds(service, f"services[{index}]", check)
        _check_connections(service, f"services[{index}]", zones, check)


def _objects(parent: dict[str, Any], name: str) -> list[tuple[int, dict[str, Any]]]:
    items = parent.get(name)
    if not isinstance(items, list):
        return []
    return [(index, item) for index, item in enumerate(items) if isinstance(item, dict)]


def _check_unique(
    items: list[tuple[int, dict[str, Any]]], place: str, check: StructureCheck
) -> None:
    first_index: dict[str, int] = {}
    for index, item in items:
        name = item.get("name")
        if not isinstance(name, str):
            continue
        if name in first_index:
            first_place = f"{place}[{first_index[name]}].name"
            check.report(
                f"{place}[{index}].name",
                repr(name),
                f"a name other than that of {first_place}",
            )
        first_index.setdefault(name, index)


def _check_unique_tokens(token_hashes: Any, check: StructureCheck) -> None:
    if not isinstance(token_hashes, list):
        return
    first_index: dict[str, int] = {}
    for index, token_hash in enumerate(token_hashes):
        if not isinstance(token_hash, str):
            continue
        if token_hash in first_index:
            check.report(
                f"tokens_sha256[{index}]",
                f"the same as tokens_sha256[{first_index[token_hash]}]",
                "each hash once",
            )
        first_index.setdefault(token_hash, index)


def _check_weights(weights: Any, check: StructureCheck) -> None:
    if not isinstance(weights, dict):
        return
    if weights.get("imbalance", 1.0) == 0 and weights.get("unavailable_time", 1.0) == 0:
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
    gateways = max_gateways(sum(counts))
    if connections < gateways:
        check.report(
            f"{place}.connections",
            str(connections),
            f"at least {gateways}: one for each entry host and its replacements",
        )


def _is_count(value: Any) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 1 <= value <= MAX_ENTRY_HOSTS
