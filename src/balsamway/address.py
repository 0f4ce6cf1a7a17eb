"""Addresses of the form `ip:port`."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Takes an address apart.

    Args:
        address: The `ip:port`.

    Returns:
        The IP address, empty if there is none, and the port.

    Raises:
        ValueError: If the port is not a number.
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)
