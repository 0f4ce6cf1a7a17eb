"""Generates a configuration from a questionnaire."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import flags

from balsamway.commands._answers import generate_from
from balsamway.commands.verb import FINE, NOT_DONE, NOT_MET, UsageError, Verb
from balsamway.configuration.rendering import render
from balsamway.configuration.token_index import hash_token


def run(arguments: list[str]) -> int:
    """Writes the configuration, with the answer that each part comes from.

    Args:
        arguments: What follows the verb.

    Returns:
        The exit status.
    """
    parsed = VERB.parse(arguments)
    if parsed.flags.hash_token:
        print(hash_token(sys.stdin.readline().rstrip("\r\n")))
        return FINE
    if not parsed.words:
        raise UsageError(f"usage: balsamway generate {VERB.usage}")
    generated = generate_from(parsed.words[0])
    if generated is None:
        return NOT_MET
    return _write(render(generated), parsed.flags.output)


def _define(values: flags.FlagValues) -> None:
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
        return FINE
    try:
        Path(output).write_text(text, encoding="utf-8")
    except OSError as error:
        print(f"balsamway generate: {output}: {error.strerror}", file=sys.stderr)
        return NOT_DONE
    return FINE


VERB = Verb(
    "generate",
    "QUESTIONNAIRE [--output FILE] | --hash_token",
    "Generates a configuration; each part names the answer it comes from.\n"
    "The same answers always give the same text.\n"
    "Exits with 0, with 1 if the answers have problems, 2 for wrong usage.",
    _define,
    most_words=1,
)
