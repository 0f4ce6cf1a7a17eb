"""Types of answers with the ranges of their values."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

MIN_TIMEOUT_MS = 10
"""The shortest timeout of a kind of request, in milliseconds."""
MAX_TIMEOUT_MS = 600_000
"""The longest timeout of a kind of request, in milliseconds."""
MAX_BODY_BYTES = 16_777_216
"""The greatest limit for the body of a kind of request."""

Name = Annotated[
    str,
    Meta(
        pattern="^[a-z][a-z0-9-]{0,39}$",
        description="a name of 1 to 40 lower-case letters, digits and hyphens"
        " that begins with a letter",
    ),
]
TokenHash = Annotated[
    str,
    Meta(
        pattern="^[0-9a-f]{64}$",
        description="a SHA-256 of 64 hexadecimal digits, as"
        " `balsamway generate --hash_token` prints it",
    ),
]
Count = Annotated[
    int, Meta(ge=1, le=100_000, description="a whole number from 1 to 100000")
]
TimeoutMs = Annotated[
    int,
    Meta(
        ge=MIN_TIMEOUT_MS,
        le=MAX_TIMEOUT_MS,
        description=f"milliseconds from {MIN_TIMEOUT_MS} to {MAX_TIMEOUT_MS}",
    ),
]
BodyBytes = Annotated[
    int,
    Meta(
        ge=0,
        le=MAX_BODY_BYTES,
        description=f"bytes from 0 to {MAX_BODY_BYTES}",
    ),
]
Weight = Annotated[float, Meta(ge=0, le=1000, description="a number from 0 to 1000")]
