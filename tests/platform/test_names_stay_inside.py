"""The platform's manner of speaking stays in one small folder."""

from __future__ import annotations

import re
from pathlib import Path

import balsamway

SOURCE = Path(balsamway.__file__).parent
LINES_AT_MOST = 1_500
NAMES = re.compile(
    "Balsamway-(Target-Instance|Instance-Id|Not-Executed|Request-Deadline|Shard-Key"
    "|Handover|Response-Signature)|holdMs|pathPrefix|targetLatencyMs|routeType"
    "|warmupLeftMs|maxAttempts|internalPorts|readyAddress|waitMs|hasMore|asOf"
    "|BALSAMWAY_NODE_FILE"
)


def test_only_the_adapter_knows_the_platforms_names():
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if path.parent != SOURCE / "platform" and NAMES.search(path.read_text())
    ]
    assert found == []


def test_the_adapter_stays_small():
    files = (SOURCE / "platform").glob("*.py")
    assert sum(len(path.read_text().splitlines()) for path in files) < LINES_AT_MOST


def test_the_product_does_not_import_the_adapter():
    found = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if path.parent != SOURCE / "platform"
        and "balsamway.platform" in path.read_text()
    ]
    assert found == []
