from __future__ import annotations

import msgpack
import pytest

from balsamway.limits.messages import (
    TokenDemand,
    TokenGrant,
    TokenRequest,
    TokenResponse,
)
from balsamway.peers import codec


@pytest.mark.parametrize(
    "message",
    [
        TokenRequest(()),
        TokenRequest((TokenDemand("i-1", 7, 2.5, 130, (0, 0, 2)),)),
        TokenResponse(()),
        TokenResponse((TokenGrant(2, 40, (90,)),)),
    ],
)
def test_message_survives_encoding_and_decoding(message):
    encoded = codec.encode(codec.Frame(0, False, message))
    assert codec.decode(msgpack.unpackb(encoded)).message == message
