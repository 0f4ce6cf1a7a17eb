"""The libraries that the build of the platform's program installs."""

from __future__ import annotations

import importlib.metadata
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
LOCK = ROOT / "requirements.lock"


def canonical(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def pinned(path):
    """Return the version of each library that a file pins, by name."""
    lines = [line.strip() for line in path.read_text().splitlines()]
    pairs = [line.split("==") for line in lines if line and not line.startswith("#")]
    return {canonical(name): version for name, version in pairs}


def test_every_library_that_the_program_imports_is_installed():
    program = (
        "import sys\n"
        "before = set(sys.modules)\n"
        "import balsamway.platform.main\n"
        "print(*{name.partition('.')[0] for name in set(sys.modules) - before})"
    )
    printed = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True
    ).stdout
    distributions = importlib.metadata.packages_distributions()
    imported = {
        canonical(distribution)
        for module in printed.split()
        for distribution in distributions.get(module, ())
    }
    assert imported - set(pinned(REQUIREMENTS)) - {"balsamway"} == set()


def test_the_build_installs_the_versions_of_the_lock_file():
    locked = pinned(LOCK)
    for name, version in pinned(REQUIREMENTS).items():
        assert locked[name] == version
