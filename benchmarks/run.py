"""Runs the experiments: `python -m benchmarks.run --output out/bench`."""

from __future__ import annotations

from pathlib import Path

from absl import app, flags, logging
from rich.console import Console
from rich.progress import track

from balsamway.observe.experiments import EXPERIMENTS
from balsamway.observe.experiments.presentation import result_table, write_result

OUTPUT = flags.DEFINE_string("output", "out/bench", "Where results are written.")
ONLY = flags.DEFINE_multi_string("only", [], "Names of the experiments to run.")
SEED = flags.DEFINE_integer("seed", 1, "The seed of all draws.")


def main(_: list[str]) -> int:
    """Runs the chosen experiments and shows what they found.

    Returns:
        1 where a goal was not met, else 0.
    """
    logging.set_verbosity(logging.ERROR)
    console = Console()
    missed = False
    for name in track(ONLY.value or list(EXPERIMENTS), console=console):
        result = EXPERIMENTS[name](SEED.value)
        console.print(result_table(result))
        write_result(result, Path(OUTPUT.value))
        missed = missed or not all(goal.met for goal in result.goals)
    return int(missed)


if __name__ == "__main__":
    app.run(main)
