"""Generates a configuration from a questionnaire."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import flags

from balsamway.commands._questionnaires import generate_from_file
from balsamway.commands.subcommand import (
    EXIT_ERROR,
    EXIT_OK,
    EXIT_UNMET,
    Subcommand,
    UsageError,
)
from balsamway.configuration.rendering import render
from balsamway.configuration.token_index import hash_token


def run(arguments: list[str]) -> int:
    """Write the configuration with the origin of each of its values.

    Args:
        arguments: The arguments after the subcommand.

    Returns:
        The exit code.
    """
    parsed = SUBCOMMAND.parse(arguments)
    if parsed.flags.hash_token:
        print(hash_token(sys.stdin.readline().rstrip("\r\n")))
        return EXIT_OK
    if not parsed.positionals:
        raise UsageError(f"usage: balsamway generate {SUBCOMMAND.usage}")
    generated = generate_from_file(parsed.positionals[0])
    if generated is None:
        return EXIT_UNMET
    return _write(render(generated), parsed.flags.output)


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "output", None, "Writes to this file, not to the terminal.", flag_values=values
    )
    flags.DEFINE_boolean(
        "hash_token",
        False,
        "Reads a token from standard input and prints its hash for tokens_sha256.",
        flag_values=values,
    )


def _write(text: str, output: str | None) -> int:
    if output is None:
        print(text, end="")
        return EXIT_OK
    try:
        Path(output).write_text(text, encoding="utf-8")
    except OSError as error:
        print(f"balsamway generate: {output}: {error.strerror}", file=sys.stderr)
        return EXIT_ERROR
    return EXIT_OK


SUBCOMMAND = Subcommand(
    "generate",
    "QUESTIONNAIRE [--output FILE] | --hash_token",
    "Generates a configuration; each part names the answer it comes from.\n"
    "The same answers always give the same text.\n"
    "Exits with 0, with 1 if the answers have problems, 2 for wrong usage.",
    _define_flags,
    max_arguments=1,
)
