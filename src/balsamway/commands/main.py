"""The operators' command: `balsamway VERB`."""

from __future__ import annotations

import importlib
import pkgutil
import signal
import sys
from types import ModuleType

import balsamway.commands
from balsamway.commands.verb import FINE, NOT_DONE, HelpShown, UsageError

NO_VERBS = frozenset({"main", "verb"})


def run() -> None:
    """Runs the verb that the command line names, and exits."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(main(sys.argv[1:]))


def main(arguments: list[str]) -> int:
    """Runs a verb.

    Args:
        arguments: The verb and what follows it.

    Returns:
        The exit status.
    """
    if not arguments or arguments[0] in ("--help", "help"):
        print(_help_text())
        return FINE if arguments else NOT_DONE
    name = arguments[0]
    if name not in verbs():
        known = ", ".join(verbs())
        print(f"balsamway: no verb {name}; one of: {known}", file=sys.stderr)
        return NOT_DONE
    try:
        return _module(name).run(arguments[1:])
    except HelpShown:
        return FINE
    except UsageError as error:
        print(f"balsamway {name}: {error}", file=sys.stderr)
        return NOT_DONE


def verbs() -> tuple[str, ...]:
    """Lists the verbs: the modules beside this one."""
    modules = pkgutil.iter_modules(balsamway.commands.__path__)
    names = (module.name for module in modules)
    return tuple(
        name for name in names if name not in NO_VERBS and not name.startswith("_")
    )


def _module(verb: str) -> ModuleType:
    return importlib.import_module(f"balsamway.commands.{verb}")


def _help_text() -> str:
    lines = ["usage: balsamway VERB [ARGUMENTS] [--help]", ""]
    for verb in verbs():
        summary = (_module(verb).__doc__ or "").partition("\n")[0]
        lines.append(f"  {verb:<10} {summary}")
    return "\n".join(lines)


if __name__ == "__main__":
    run()
