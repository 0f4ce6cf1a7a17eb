"""The platform's names and types occur in the adapter package only.

Guards against a dependency of the other packages on one platform, which
would make a change of the platform a change everywhere.
"""

from __future__ import annotations

import re
from pathlib import Path

import balsamway

SOURCE = Path(balsamway.__file__).parent
MAX_LINES = 1_500
"""The maximum number of lines of the adapter package."""
PLATFORM_NAMES = re.compile(
    "Balsamway-(Target-Instance|Instance-Id|Not-Executed|Request-Deadline|Shard-Key"
    "|Handover|Response-Signature)|holdMs|pathPrefix|targetLatencyMs|routeType"
    "|warmupLeftMs|maxAttempts|internalPorts|readyAddress|waitMs|hasMore|asOf"
    "|BALSAMWAY_NODE_FILE"
)


def test_only_the_adapter_contains_platform_names():
    violations = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if path.parent != SOURCE / "platform"
        and PLATFORM_NAMES.search(path.read_text())
    ]
    assert violations == []


def test_adapter_stays_small():
    files = (SOURCE / "platform").glob("*.py")
    assert sum(len(path.read_text().splitlines()) for path in files) < MAX_LINES


def test_other_packages_do_not_import_the_adapter():
    violations = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if path.parent != SOURCE / "platform"
        and "balsamway.platform" in path.read_text()
    ]
    assert violations == []
