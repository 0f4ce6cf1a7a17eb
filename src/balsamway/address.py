"""Parse addresses of the form `ip:port`."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65_535
_PORT = re.compile("0|[1-9][0-9]{0,4}")


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is an IPv4 address in its dotted form.

    Args:
        text: The text.
    """
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def split_address(address: str) -> tuple[str, int]:
    """Split an address into IP address and port.

    Args:
        address: The address as `ip:port`.

    Returns:
        The IP address and the port. The IP address is empty if the address
        does not contain one.

    Raises:
        ValueError: If the port is not a plain number from 0 to 65535.
    """
    ip, _, port = address.rpartition(":")
    if _PORT.fullmatch(port) is None or int(port) > MAX_PORT:
        raise ValueError("the port is not a number from 0 to 65535")
    return ip, int(port)
