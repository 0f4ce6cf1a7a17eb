"""The flags, arguments and help text of a subcommand."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from absl import flags

EXIT_OK = 0
"""The subcommand succeeded."""
EXIT_UNMET = 1
"""A check or goal is not met, answers have problems, or versions conflict."""
EXIT_ERROR = 2
"""Wrong usage, an unreachable host or store, or an unknown result."""


class UsageError(ValueError):
    """The arguments of a subcommand are invalid; the text gives the reason."""


class HelpShown(Exception):
    """The help text of a subcommand was requested and has been printed."""


@dataclass(frozen=True, slots=True)
class Arguments:
    """The parsed arguments of a subcommand."""

    positionals: tuple[str, ...]
    """The arguments that are not flags."""
    flags: flags.FlagValues


@dataclass(frozen=True, slots=True)
class Subcommand:
    """A subcommand of `balsamway`."""

    name: str
    usage: str
    """The arguments, like `QUESTIONNAIRE [--output FILE]`."""
    summary: str
    """What the subcommand does and prints, and its exit codes."""
    define_flags: Callable[[flags.FlagValues], None]
    """Defines the flags of the subcommand."""
    min_arguments: int = 0
    max_arguments: int = 0

    def parse(self, arguments: list[str]) -> Arguments:
        """Parse the arguments after the subcommand.

        Args:
            arguments: The arguments as given.

        Returns:
            The positional arguments and flags.

        Raises:
            HelpShown: If `--help` is among them.
            UsageError: If they do not fit the subcommand.
        """
        values = flags.FlagValues()
        flags.DEFINE_boolean("help", False, "Shows this text.", flag_values=values)
        self.define_flags(values)
        try:
            positionals = values([self.name, *arguments])[1:]
        except flags.Error as error:
            raise UsageError(str(error)) from error
        if values.help:
            print(self._help_text(values))
            raise HelpShown
        if not self.min_arguments <= len(positionals) <= self.max_arguments:
            raise UsageError(f"usage: balsamway {self.name} {self.usage}")
        return Arguments(tuple(positionals), values)

    def _help_text(self, values: flags.FlagValues) -> str:
        lines = [f"usage: balsamway {self.name} {self.usage}", "", self.summary, ""]
        for name in sorted(values):
            default = values[name].default
            shown = "" if default in (None, False) else f" (default {default})"
            lines.append(f"  --{name}: {values[name].help}{shown}")
        return "\n".join(lines)
