"""Addresses whose port is out of range or not plain digits."""

from __future__ import annotations

import asyncio

import pytest

from balsamway.address import split_address
from balsamway.exchange import ConnectionPool, NotSent

ODD_PORTS = ["65536", "99999", "-1", "8\u0663", "80 ", "+80", "8_0", "", "9" * 5_000]


def test_address_is_split_at_its_last_colon():
    assert split_address("10.0.0.1:80") == ("10.0.0.1", 80)
    assert split_address("127.0.0.1:0") == ("127.0.0.1", 0)
    assert split_address("0.0.0.0:65535") == ("0.0.0.0", 65_535)


@pytest.mark.parametrize("port", ODD_PORTS, ids=lambda port: ascii(port[:10]))
def test_port_out_of_range_or_not_plain_is_refused(port):
    with pytest.raises(ValueError, match="port"):
        split_address(f"10.0.0.1:{port}")


@pytest.mark.parametrize("port", ODD_PORTS, ids=lambda port: ascii(port[:10]))
async def test_pool_of_an_address_with_a_port_out_of_range_sends_nothing(port):
    pool = ConnectionPool(f"127.0.0.1:{port}", 2)
    async with asyncio.timeout(2):
        assert isinstance(await pool.acquire(), NotSent)
    assert pool.has_room
