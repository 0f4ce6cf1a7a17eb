"""Prints all slopes: `python -m benchmarks.slopes --json FILE`."""

from __future__ import annotations

from pathlib import Path

import msgspec
from absl import app, flags
from rich.console import Console
from rich.table import Table

from benchmarks.slopes import measurements
from benchmarks.slopes.slope import Slope

JSON = flags.DEFINE_string("json", "", "Where to write the slopes, if anywhere.")


def main(_: list[str]) -> None:
    """Measures every role and prints the lines."""
    console = Console()
    found: list[Slope] = []
    for part in (
        measurements.gateway_slopes,
        measurements.leader_slopes,
        measurements.target_slopes,
        measurements.store_slopes,
        measurements.witness_slopes,
        measurements.relay_slopes,
    ):
        found.extend(part())
    console.print(_table(found))
    console.print(
        f"renewal of a view: {measurements.renewal_bytes()} bytes, "
        f"{measurements.renewal_seconds() * 1e6:.1f} us both ways"
    )
    if JSON.value:
        Path(JSON.value).write_bytes(msgspec.json.encode(found))


def _table(found: list[Slope]) -> Table:
    table = Table(title="slopes")
    for column in ("role", "quantity", "unit", "size", "fixed", "each", "measured at"):
        table.add_column(column)
    for slope in found:
        table.add_row(
            slope.role,
            slope.quantity,
            slope.unit,
            slope.size,
            format(slope.fixed, ".4g"),
            format(slope.each, ".4g"),
            ", ".join(
                f"{size:g}: {value:.4g}"
                for size, value in zip(slope.sizes, slope.values, strict=True)
            ),
        )
    return table


if __name__ == "__main__":
    app.run(main)
