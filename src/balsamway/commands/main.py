"""The operators' command: `balsamway SUBCOMMAND`."""

from __future__ import annotations

import importlib
import pkgutil
import signal
import sys
from types import ModuleType

import balsamway.commands
from balsamway.commands.subcommand import EXIT_ERROR, EXIT_OK, HelpShown, UsageError

NON_COMMAND_MODULES = frozenset({"main", "subcommand"})
"""Public modules of this package that are not subcommands."""


def run() -> None:
    """Run the subcommand that the command line names, then exit."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(main(sys.argv[1:]))


def main(arguments: list[str]) -> int:
    """Run a subcommand.

    Args:
        arguments: The subcommand and its arguments.

    Returns:
        The exit code.
    """
    if not arguments or arguments[0] in ("--help", "help"):
        print(_help_text())
        return EXIT_OK if arguments else EXIT_ERROR
    name = arguments[0]
    if name not in subcommands():
        known = ", ".join(subcommands())
        print(f"balsamway: no verb {name}; one of: {known}", file=sys.stderr)
        return EXIT_ERROR
    try:
        return _load_module(name).run(arguments[1:])
    except HelpShown:
        return EXIT_OK
    except UsageError as error:
        print(f"balsamway {name}: {error}", file=sys.stderr)
        return EXIT_ERROR


def subcommands() -> tuple[str, ...]:
    """Return the subcommands, which are the modules of this package."""
    modules = pkgutil.iter_modules(balsamway.commands.__path__)
    names = (module.name for module in modules)
    return tuple(
        name
        for name in names
        if name not in NON_COMMAND_MODULES and not name.startswith("_")
    )


def _load_module(subcommand: str) -> ModuleType:
    return importlib.import_module(f"balsamway.commands.{subcommand}")


def _help_text() -> str:
    lines = ["usage: balsamway VERB [ARGUMENTS] [--help]", ""]
    for subcommand in subcommands():
        summary = (_load_module(subcommand).__doc__ or "").partition("\n")[0]
        lines.append(f"  {subcommand:<10} {summary}")
    return "\n".join(lines)


if __name__ == "__main__":
    run()
