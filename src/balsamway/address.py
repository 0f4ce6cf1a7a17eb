"""Parse addresses of the form `ip:port`."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Split an address into IP address and port.

    Args:
        address: The address as `ip:port`.

    Returns:
        The IP address and the port. The IP address is empty if the address
        does not contain one.

    Raises:
        ValueError: If the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)
