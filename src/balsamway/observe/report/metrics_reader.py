"""Makes a workspace's report from the daemons' metrics."""

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

COMPLETED = "completed"


def build_report(
    workspace: str, pages: Mapping[str, str], unreached: tuple[str, ...]
) -> WorkspaceReport:
    """Adds up the metrics of all entry hosts.

    Args:
        workspace: The workspace's name.
        pages: The metrics of each host that answered, as Prometheus text.
        unreached: The hosts that did not answer.

    Returns:
        The report; without services where the workspace is not known.
    """
    samples = [sample for page in pages.values() for sample in _samples(page)]
    own = [sample for sample in samples if sample.labels.get("workspace") == workspace]
    names = sorted({sample.labels["service"] for sample in own if _is_request(sample)})
    return WorkspaceReport(
        workspace,
        len(pages) + len(unreached),
        unreached,
        tuple(_service(name, own) for name in names),
        _cost(samples, len(pages) + len(unreached)),
    )


def _samples(page: str) -> Iterator[Sample]:
    for family in text_string_to_metric_families(page):
        yield from family.samples


def _is_request(sample: Sample) -> bool:
    return sample.name == "balsamway_requests_total"


def _service(name: str, samples: list[Sample]) -> ServiceReport:
    own = [sample for sample in samples if sample.labels.get("service") == name]
    requests = [sample for sample in own if _is_request(sample)]
    completed = [each for each in requests if each.labels["verdict"] == COMPLETED]
    busy = _sums(own, "balsamway_target_busy_seconds_total", "target")
    refused = _sums(
        [each for each in requests if each.labels["verdict"] != COMPLETED],
        "balsamway_requests_total",
        "reason",
    )
    return ServiceReport(
        name,
        sum(each.value for each in requests),
        sum(each.value for each in completed),
        _mean_seconds(own),
        Imbalance.of(busy),
        tuple(TargetBusy(target, busy[target]) for target in sorted(busy)),
        tuple(RefusedRequests(reason, refused[reason]) for reason in sorted(refused)),
    )


def _mean_seconds(samples: list[Sample]) -> float:
    seconds = _total(samples, "balsamway_request_seconds_sum")
    count = _total(samples, "balsamway_request_seconds_count")
    return seconds / count if count else 0.0


def _cost(samples: list[Sample], hosts: int) -> Cost:
    return Cost(
        hosts,
        _total(samples, "balsamway_in_flight"),
        _total(samples, "balsamway_connections_opened_total"),
        _total(samples, "balsamway_platform_calls_total"),
    )


def _total(samples: list[Sample], name: str) -> float:
    return sum(sample.value for sample in samples if sample.name == name)


def _sums(samples: list[Sample], name: str, label: str) -> dict[str, float]:
    found: dict[str, float] = defaultdict(float)
    for sample in samples:
        if sample.name == name:
            found[sample.labels[label]] += sample.value
    return found
