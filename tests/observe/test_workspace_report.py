from __future__ import annotations

import msgspec
import pytest
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from balsamway.observe.measures import Imbalance
from balsamway.observe.report import build_report
from balsamway.observe.report.presentation import report_page, report_table


@pytest.fixture
def page():
    registry = CollectorRegistry()
    kind = ("workspace", "service", "kind")
    requests = Counter(
        "balsamway_requests", "", (*kind, "verdict", "reason"), registry=registry
    )
    busy = Counter(
        "balsamway_target_busy_seconds",
        "",
        ("workspace", "service", "target"),
        registry=registry,
    )
    latency = Histogram("balsamway_request_seconds", "", kind, registry=registry)
    requests.labels("m", "s", "look", "completed", "").inc(90)
    requests.labels("m", "s", "look", "not-run", "overloaded").inc(10)
    requests.labels("other", "x", "look", "completed", "").inc(5)
    busy.labels("m", "s", "one").inc(3.0)
    busy.labels("m", "s", "two").inc(1.0)
    latency.labels("m", "s", "look").observe(0.02)
    return generate_latest(registry).decode()


def test_a_report_adds_up_all_hosts_and_only_the_workspace(page):
    report = build_report("m", {"a": page, "b": page}, ("c",))
    (service,) = report.services
    assert (service.service, service.requests, service.completed) == ("s", 200, 180)
    assert service.completed_share == 0.9
    assert service.imbalance == Imbalance(1.5, 0.5)
    assert service.refused[0].reason == "overloaded"
    assert service.mean_seconds == pytest.approx(0.02)
    assert (report.hosts_asked, report.hosts_unreached) == (3, ("c",))


def test_a_workspace_that_no_host_knows_has_no_services(page):
    assert build_report("nobody", {"a": page}, ()).services == ()


def test_the_page_stands_alone_and_shows_all_figures(page):
    report = build_report("m", {"a": page}, ())
    text = report_page(report)
    assert "<svg" in text
    assert "90.0000%" in text
    assert "http-equiv" not in text and "<script" not in text and "<link" not in text
    assert report_table(report).row_count == 1
    assert msgspec.json.decode(msgspec.json.encode(report))["workspace"] == "m"


def test_a_target_filled_by_one_key_is_left_out_of_the_imbalance():
    busy = {"a": 10.0, "b": 4.0, "c": 4.0}
    assert Imbalance.of(busy).maximum_over_mean == pytest.approx(10 / 6)
    assert Imbalance.of(busy, {"a": 9.0}).maximum_over_mean == 1.0
    assert Imbalance.of(busy, {"a": 2.0}).maximum_over_mean == pytest.approx(10 / 6)
