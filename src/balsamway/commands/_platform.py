"""The platform that subcommands connect to."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from absl import flags

from balsamway.commands.subcommand import UsageError
from balsamway.store.http_store import HttpStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from balsamway.commands.subcommand import Arguments


def define_platform_flag(values: flags.FlagValues) -> None:
    """Define the flag for the platform's address.

    Args:
        values: The subcommand's flags.
    """
    flags.DEFINE_string(
        "platform", None, "The platform, as http://ip:port.", flag_values=values
    )


def platform_address(arguments: Arguments) -> str:
    """Return the platform's address.

    Args:
        arguments: The subcommand's arguments.

    Returns:
        The address, as `http://ip:port`.

    Raises:
        UsageError: If the flag is missing or not an address.
    """
    address = arguments.flags.platform
    if not address or not address.startswith(("http://", "https://")):
        raise UsageError("--platform http://ip:port is needed")
    return address


@asynccontextmanager
async def open_store(address: str) -> AsyncIterator[HttpStore]:
    """Open the platform's store and close it at the end.

    Args:
        address: The platform's address.

    Yields:
        The store.
    """
    store = HttpStore(address)
    try:
        yield store
    finally:
        await store.close()
