"""The flags, arguments and help text of a verb."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from absl import flags

FINE = 0
NOT_MET = 1
"""A promise or a check is not met."""
NOT_DONE = 2
"""Wrong usage, nothing reached, or an unknown end."""


class UsageError(ValueError):
    """The arguments of a verb cannot be used; the text says why."""


class HelpShown(Exception):
    """The help text of a verb was asked for and printed."""


@dataclass(frozen=True, slots=True)
class Arguments:
    """What a verb was called with."""

    words: tuple[str, ...]
    """The arguments that are no flags."""
    flags: flags.FlagValues


@dataclass(frozen=True, slots=True)
class Verb:
    """One verb of the command."""

    name: str
    usage: str
    """The arguments, like `QUESTIONNAIRE [--output FILE]`."""
    summary: str
    """What the verb does and prints, and its exit statuses."""
    define: Callable[[flags.FlagValues], None]
    """Defines the flags."""
    fewest_words: int = 0
    most_words: int = 0

    def parse(self, arguments: list[str]) -> Arguments:
        """Parses the arguments after the verb.

        Args:
            arguments: The arguments as given.

        Returns:
            The words and flags.

        Raises:
            HelpShown: If `--help` is among them.
            UsageError: If they do not fit the verb.
        """
        values = flags.FlagValues()
        flags.DEFINE_boolean("help", False, "Shows this text.", flag_values=values)
        self.define(values)
        try:
            words = values([self.name, *arguments])[1:]
        except flags.Error as error:
            raise UsageError(str(error)) from error
        if values.help:
            print(self._help_text(values))
            raise HelpShown
        if not self.fewest_words <= len(words) <= self.most_words:
            raise UsageError(f"usage: balsamway {self.name} {self.usage}")
        return Arguments(tuple(words), values)

    def _help_text(self, values: flags.FlagValues) -> str:
        lines = [f"usage: balsamway {self.name} {self.usage}", "", self.summary, ""]
        for name in sorted(values):
            default = values[name].default
            shown = "" if default in (None, False) else f" (default {default})"
            lines.append(f"  --{name}: {values[name].help}{shown}")
        return "\n".join(lines)
