"""Generate a workspace's configuration from its questionnaire."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import starmap
from typing import TypeVar

import msgspec

from balsamway.configuration._sizing import initial_slices, max_gateways
from balsamway.configuration.generated_configuration import GeneratedConfiguration
from balsamway.configuration.provenance import Provenance
from balsamway.configuration.questionnaire import (
    KindAnswers,
    LoadPriority,
    Questionnaire,
    ServiceAnswers,
    ZoneAnswers,
)
from balsamway.configuration.request_kind import RequestKind
from balsamway.configuration.service import Service
from balsamway.configuration.urgency import Urgency
from balsamway.configuration.weights import Weights
from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
from balsamway.configuration.zone import Zone

T = TypeVar("T")

MS_PER_SECOND = 1000
COPIED_RULE = "as answered"
"""The rule of a value that is copied from its answer."""
URGENCIES = {
    LoadPriority.URGENT: Urgency.URGENT,
    LoadPriority.NORMAL: Urgency.NORMAL,
    LoadPriority.PATIENT: Urgency.PATIENT,
}


def generate(answers: Questionnaire) -> GeneratedConfiguration:
    """Generate a configuration; the same answers always give the same one.

    Args:
        answers: The workspace's questionnaire, already checked.

    Returns:
        The configuration with the origin of each of its values. Its version
        is 0 and its change id is empty until it is accepted.
    """
    return _Generator(answers).generate()


@dataclass(slots=True)
class _Generator:
    """Builds a configuration and records the origin of each value."""

    _answers: Questionnaire
    _provenance: list[Provenance] = field(default_factory=list)

    def generate(self) -> GeneratedConfiguration:
        answers = self._answers
        configuration = WorkspaceConfiguration(
            workspace=self._record("workspace", answers.workspace),
            version=0,
            change_id="",
            zones=tuple(starmap(self._zone, enumerate(answers.zones))),
            services=tuple(starmap(self._service, enumerate(answers.services))),
            token_hashes=self._record(
                "token_hashes", answers.tokens_sha256, "tokens_sha256"
            ),
            weights=self._weights(),
        )
        return GeneratedConfiguration(configuration, tuple(self._provenance))

    def _record(
        self, path: str, value: T, answer: str = "", rule: str = COPIED_RULE
    ) -> T:
        text = msgspec.json.encode(value).decode()
        self._provenance.append(Provenance(path, text, answer or path, rule))
        return value

    def _zone(self, index: int, zone: ZoneAnswers) -> Zone:
        place = f"zones[{index}]"
        return Zone(
            name=self._record(f"{place}.name", zone.name),
            region=self._record(f"{place}.region", zone.region),
            entry_hosts=self._record(f"{place}.entry_hosts", zone.entry_hosts),
        )

    def _service(self, index: int, service: ServiceAnswers) -> Service:
        place = f"services[{index}]"
        kinds = tuple(
            self._kind(f"{place}.kinds[{number}]", kind)
            for number, kind in enumerate(service.kinds)
        )
        return Service(
            name=self._record(f"{place}.name", service.name),
            exclusive_keys=self._record(
                f"{place}.exclusive_keys", service.exclusive_keys
            ),
            kinds=kinds,
            slots=self._record(f"{place}.slots", service.slots),
            connections=self._record(f"{place}.connections", service.connections),
            instances=self._record(f"{place}.instances", service.instances),
            shards=self._record(
                f"{place}.shards",
                1,
                f"{place}.exclusive_keys",
                "one shard for each service, which never changes",
            ),
            slices=self._record(
                f"{place}.slices",
                initial_slices(service.instances),
                f"{place}.instances",
                "16 for each target, up to the next power of two",
            ),
            gateways_at_most=self._record(
                f"{place}.gateways_at_most",
                self._max_gateways(),
                "zones[*].entry_hosts",
                "their sum and a third more for replacements",
            ),
        )

    def _kind(self, place: str, kind: KindAnswers) -> RequestKind:
        return RequestKind(
            name=self._record(f"{place}.name", kind.name),
            idempotent=self._record(f"{place}.idempotent", kind.idempotent),
            timeout_seconds=self._record(
                f"{place}.timeout_seconds",
                kind.timeout_ms / MS_PER_SECOND,
                f"{place}.timeout_ms",
                "in seconds",
            ),
            urgency=self._record(
                f"{place}.urgency",
                URGENCIES[kind.under_load],
                f"{place}.under_load",
                "2 urgent, 1 normal, 0 patient",
            ),
            body_limit_bytes=self._record(
                f"{place}.body_limit_bytes", kind.body_limit_bytes
            ),
        )

    def _weights(self) -> Weights:
        weights = self._answers.weights
        return Weights(
            imbalance=self._record("weights.imbalance", weights.imbalance),
            unavailable_time=self._record(
                "weights.unavailable_time", weights.unavailable_time
            ),
        )

    def _max_gateways(self) -> int:
        return max_gateways(sum(zone.entry_hosts for zone in self._answers.zones))
