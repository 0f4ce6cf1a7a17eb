"""Encodes and decodes the JSON bodies of the stand-ins' HTTP requests."""

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
    """Return an HTTP response with a value encoded as JSON.

    Args:
        value: A data class instance or built-in values.
        status: The HTTP status.
        headers: Additional response headers.

    Returns:
        The response.
    """
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


async def read_json(request: web.Request, cls: type[T]) -> T:
    """Decode the JSON body of a request.

    Args:
        request: The request.
        cls: The expected type of the body.

    Returns:
        The decoded body.

    Raises:
        web.HTTPBadRequest: If the body is no JSON of this type.
    """
    try:
        return msgspec.json.decode(await request.read(), type=cls)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def merge_json(request: web.Request, current: D) -> D:
    """Replace the fields of a data class that a request's body contains.

    Args:
        request: The request.
        current: The value before the request.

    Returns:
        A new value with these fields replaced.

    Raises:
        web.HTTPBadRequest: If a field is unknown or has the wrong type.
    """
    try:
        changes = msgspec.json.decode(await request.read(), type=dict[str, Any])
        fields = {field.name for field in dataclasses.fields(current)}
        unknown = sorted(set(changes) - fields)
        if unknown:
            raise web.HTTPBadRequest(text="unknown: {}".format(", ".join(unknown)))
        merged = msgspec.to_builtins(current) | changes
        return msgspec.convert(merged, type(current))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error
