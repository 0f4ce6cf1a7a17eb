from __future__ import annotations

import collections
import random

import pytest

from balsamway.routing import Backend, Route, RouteTable, RouteType
from balsamway.routing.weighted_split import WeightedSplit


def route(prefix, host="h.example"):
    backends = (Backend("s", 1.0),)
    return Route(prefix, host, prefix, RouteType.SAFE, 1.0, 0.3, 0, 1, backends)


TABLE = RouteTable(
    [route("/"), route("/a/"), route("/a/b/"), route("/x/", "only.example")]
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("h.example", "/a/b/c", "/a/b/"),
        ("h.example", "/a/b/", "/a/b/"),
        ("h.example", "/a/b", "/a/"),
        ("h.example", "/a/bc/d", "/a/"),
        ("H.Example:8080", "/a/", "/a/"),
        ("h.example", "/ab/c", "/"),
        ("h.example", "/q?to=/a/b/c", "/"),
        ("only.example", "/a/", None),
        ("only.example", "/x/y?z", "/x/"),
        ("other.example", "/a/", None),
        ("h.example", "a", None),
    ],
)
def test_the_longest_matching_prefix_of_the_host_is_chosen(host, path, expected):
    route = TABLE.find(host, path)
    assert (route.path_prefix if route else None) == expected


@pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (70, 20, 10), (5,), (0, 3)])
def test_requests_are_split_by_weight_over_few_requests(weights):
    backends = tuple(Backend(str(n), weight) for n, weight in enumerate(weights))
    split = WeightedSplit(backends, random.Random(1))
    counts = collections.Counter(split.next_service() for _ in range(100))
    for backend in backends:
        share = 100 * backend.weight / sum(weights)
        assert abs(counts[backend.service] - share) <= 2
