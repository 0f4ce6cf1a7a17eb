"""The platform that verbs talk to."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from absl import flags

from balsamway.commands.verb import UsageError
from balsamway.store.http_store import HttpStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from balsamway.commands.verb import Arguments


def define_platform(values: flags.FlagValues) -> None:
    """Defines the flag that names the platform.

    Args:
        values: The verb's flags.
    """
    flags.DEFINE_string(
        "platform", None, "The platform, as http://ip:port.", flag_values=values
    )


def platform_of(arguments: Arguments) -> str:
    """Gives the platform's address.

    Args:
        arguments: The verb's arguments.

    Returns:
        The address, as `http://ip:port`.

    Raises:
        UsageError: If the flag is missing or no address.
    """
    address = arguments.flags.platform
    if not address or not address.startswith(("http://", "https://")):
        raise UsageError("--platform http://ip:port is needed")
    return address


@asynccontextmanager
async def open_store(address: str) -> AsyncIterator[HttpStore]:
    """Opens the platform's store for the time of a verb.

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
