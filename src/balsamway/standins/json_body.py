"""Typed JSON bodies for the stand-ins' HTTP calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

T = TypeVar("T")
D = TypeVar("D", bound="DataclassInstance")


def json_answer(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Encodes a value as the answer to a call.

    Args:
        value: A data class, or builtin values.
        status: The HTTP status.
        headers: Further headers.

    Returns:
        The answer.
    """
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


async def read_json(request: web.Request, cls: type[T]) -> T:
    """Decodes the body of a call.

    Args:
        request: The call.
        cls: The data class expected.

    Returns:
        The decoded body.

    Raises:
        web.HTTPBadRequest: If the body does not fit.
    """
    try:
        return msgspec.json.decode(await request.read(), type=cls)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def merge_json(request: web.Request, present: D) -> D:
    """Replaces those fields of a data class that a call's body names.

    Args:
        request: The call.
        present: The value before the call.

    Returns:
        The value after the call.

    Raises:
        web.HTTPBadRequest: If a field is unknown or does not fit.
    """
    try:
        given = msgspec.json.decode(await request.read(), type=dict[str, Any])
        fields = {field.name for field in dataclasses.fields(present)}
        unknown = sorted(set(given) - fields)
        if unknown:
            raise web.HTTPBadRequest(text="unknown: {}".format(", ".join(unknown)))
        merged = msgspec.to_builtins(present) | given
        return msgspec.convert(merged, type(present))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error
