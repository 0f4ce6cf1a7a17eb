"""Generates a workspace's configuration from its answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import starmap
from typing import TypeVar

import msgspec

from balsamway.configuration._sizing import gateways_at_most, starting_slices
from balsamway.configuration.explained import Explained
from balsamway.configuration.generated import Generated
from balsamway.configuration.questionnaire import (
    KindAnswers,
    Patience,
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
AS_ANSWERED = "as answered"
URGENCIES = {
    Patience.URGENT: Urgency.URGENT,
    Patience.NORMAL: Urgency.NORMAL,
    Patience.PATIENT: Urgency.PATIENT,
}


def generate(answers: Questionnaire) -> Generated:
    """Generates a configuration; the same answers always give the same one.

    Args:
        answers: The workspace's answers, checked.

    Returns:
        The configuration, with version 0 and no change id until it is
        accepted, and where each of its values comes from.
    """
    return _Generator(answers).generate()


@dataclass(slots=True)
class _Generator:
    """Makes each part and notes the answer that it comes from."""

    _answers: Questionnaire
    _explained: list[Explained] = field(default_factory=list)

    def generate(self) -> Generated:
        answers = self._answers
        configuration = WorkspaceConfiguration(
            workspace=self._note("workspace", answers.workspace),
            version=0,
            change_id="",
            zones=tuple(starmap(self._zone, enumerate(answers.zones))),
            services=tuple(starmap(self._service, enumerate(answers.services))),
            token_hashes=self._note(
                "token_hashes", answers.tokens_sha256, "tokens_sha256"
            ),
            weights=self._weights(),
        )
        return Generated(configuration, tuple(self._explained))

    def _note(
        self, path: str, value: T, answer: str = "", rule: str = AS_ANSWERED
    ) -> T:
        text = msgspec.json.encode(value).decode()
        self._explained.append(Explained(path, text, answer or path, rule))
        return value

    def _zone(self, index: int, zone: ZoneAnswers) -> Zone:
        place = f"zones[{index}]"
        return Zone(
            name=self._note(f"{place}.name", zone.name),
            region=self._note(f"{place}.region", zone.region),
            entry_hosts=self._note(f"{place}.entry_hosts", zone.entry_hosts),
        )

    def _service(self, index: int, service: ServiceAnswers) -> Service:
        place = f"services[{index}]"
        kinds = tuple(
            self._kind(f"{place}.kinds[{number}]", kind)
            for number, kind in enumerate(service.kinds)
        )
        return Service(
            name=self._note(f"{place}.name", service.name),
            exclusive_keys=self._note(
                f"{place}.exclusive_keys", service.exclusive_keys
            ),
            kinds=kinds,
            slots=self._note(f"{place}.slots", service.slots),
            connections=self._note(f"{place}.connections", service.connections),
            instances=self._note(f"{place}.instances", service.instances),
            shards=self._note(
                f"{place}.shards",
                1,
                f"{place}.exclusive_keys",
                "one shard for each service, which never changes",
            ),
            slices=self._note(
                f"{place}.slices",
                starting_slices(service.instances),
                f"{place}.instances",
                "16 for each target, up to the next power of two",
            ),
            gateways_at_most=self._note(
                f"{place}.gateways_at_most",
                self._gateways(),
                "zones[*].entry_hosts",
                "their sum and a third more for replacements",
            ),
        )

    def _kind(self, place: str, kind: KindAnswers) -> RequestKind:
        return RequestKind(
            name=self._note(f"{place}.name", kind.name),
            idempotent=self._note(f"{place}.idempotent", kind.idempotent),
            timeout_seconds=self._note(
                f"{place}.timeout_seconds",
                kind.timeout_ms / MS_PER_SECOND,
                f"{place}.timeout_ms",
                "in seconds",
            ),
            urgency=self._note(
                f"{place}.urgency",
                URGENCIES[kind.under_load],
                f"{place}.under_load",
                "2 urgent, 1 normal, 0 patient",
            ),
            body_limit_bytes=self._note(
                f"{place}.body_limit_bytes", kind.body_limit_bytes
            ),
        )

    def _weights(self) -> Weights:
        weights = self._answers.weights
        return Weights(
            imbalance=self._note("weights.imbalance", weights.imbalance),
            unavailable_time=self._note(
                "weights.unavailable_time", weights.unavailable_time
            ),
        )

    def _gateways(self) -> int:
        return gateways_at_most(sum(zone.entry_hosts for zone in self._answers.zones))
