"""Builds a workspace's report from the metrics of the entry hosts."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from prometheus_client.parser import text_string_to_metric_families

from balsamway.observe.measures import Cost, Imbalance
from balsamway.observe.report.workspace_report import (
    RefusedRequests,
    ServiceReport,
    TargetBusy,
    WorkspaceReport,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from prometheus_client.samples import Sample

COMPLETED_VERDICT = "completed"
"""The label `verdict` of requests with a complete response."""


def build_report(
    workspace: str, pages: Mapping[str, str], unreached: tuple[str, ...]
) -> WorkspaceReport:
    """Sum up the metrics of all entry hosts for one workspace.

    Args:
        workspace: The workspace's name.
        pages: The metrics of each host that responded, in Prometheus' text
            format, by the host's name.
        unreached: The names of the hosts that did not respond.

    Returns:
        The report; it has no services if no host counted a request of the
        workspace.
    """
    samples = [sample for page in pages.values() for sample in _parse_samples(page)]
    workspace_samples = [
        sample for sample in samples if sample.labels.get("workspace") == workspace
    ]
    names = sorted(
        {
            sample.labels["service"]
            for sample in workspace_samples
            if _is_request_count(sample)
        }
    )
    return WorkspaceReport(
        workspace,
        len(pages) + len(unreached),
        unreached,
        tuple(_build_service_report(name, workspace_samples) for name in names),
        _build_cost(samples, len(pages) + len(unreached)),
    )


def _parse_samples(page: str) -> Iterator[Sample]:
    for family in text_string_to_metric_families(page):
        yield from family.samples


def _is_request_count(sample: Sample) -> bool:
    return sample.name == "balsamway_requests_total"


def _build_service_report(name: str, samples: list[Sample]) -> ServiceReport:
    service_samples = [
        sample for sample in samples if sample.labels.get("service") == name
    ]
    requests = [sample for sample in service_samples if _is_request_count(sample)]
    completed = [
        sample for sample in requests if sample.labels["verdict"] == COMPLETED_VERDICT
    ]
    busy = _sum_by_label(
        service_samples, "balsamway_target_busy_seconds_total", "target"
    )
    refused = _sum_by_label(
        [
            sample
            for sample in requests
            if sample.labels["verdict"] != COMPLETED_VERDICT
        ],
        "balsamway_requests_total",
        "reason",
    )
    return ServiceReport(
        name,
        sum(sample.value for sample in requests),
        sum(sample.value for sample in completed),
        _mean_seconds(service_samples),
        Imbalance.of(busy),
        tuple(TargetBusy(target, busy[target]) for target in sorted(busy)),
        tuple(RefusedRequests(reason, refused[reason]) for reason in sorted(refused)),
    )


def _mean_seconds(samples: list[Sample]) -> float:
    seconds = _sum(samples, "balsamway_request_seconds_sum")
    count = _sum(samples, "balsamway_request_seconds_count")
    return seconds / count if count else 0.0


def _build_cost(samples: list[Sample], hosts: int) -> Cost:
    return Cost(
        hosts,
        _sum(samples, "balsamway_in_flight"),
        _sum(samples, "balsamway_connections_opened_total"),
        _sum(samples, "balsamway_platform_calls_total"),
    )


def _sum(samples: list[Sample], name: str) -> float:
    return sum(sample.value for sample in samples if sample.name == name)


def _sum_by_label(samples: list[Sample], name: str, label: str) -> dict[str, float]:
    sums: dict[str, float] = defaultdict(float)
    for sample in samples:
        if sample.name == name:
            sums[sample.labels[label]] += sample.value
    return sums
