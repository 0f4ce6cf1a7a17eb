"""Encodes typed messages as msgpack, and decodes them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

import msgpack
import msgspec

T = TypeVar("T", bound=type)

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


class UnknownMessageError(ValueError):
    """The name of a message is not registered, or its fields do not match."""


@dataclass(frozen=True, slots=True)
class Frame:
    """A message on a stream, with its place in a call."""

    call_id: int
    """Matches a response with its call. It is 0 if no response is expected."""
    is_answer: bool
    """Whether the message is a response."""
    message: Any
    """An instance of a registered message class."""


def message(name: str) -> Any:
    """Register a data class as a message between entry hosts.

    Args:
        name: The name of the message on the wire.

    Returns:
        The class decorator, which raises `ValueError` if the name is taken.
    """

    def register(cls: T) -> T:
        if name in _types_by_name:
            raise ValueError(f"message {name} is registered twice")
        _types_by_name[name] = cls
        _names_by_type[cls] = name
        return cls

    return register


def encode(frame: Frame) -> bytes:
    """Encode a frame.

    Args:
        frame: The frame. The class of its message must be registered.

    Returns:
        The frame as msgpack.
    """
    name = _names_by_type[type(frame.message)]
    fields = msgspec.to_builtins(frame.message, builtin_types=(bytes,))
    return msgpack.packb((frame.call_id, frame.is_answer, name, fields))


def decode(parts: Any) -> Frame:
    """Decode a frame that msgpack has unpacked.

    Args:
        parts: The object that `msgpack.Unpacker` returned.

    Returns:
        The frame.

    Raises:
        UnknownMessageError: If the object is not a frame with a known message.
    """
    try:
        call_id, is_answer, name, fields = parts
        cls = _types_by_name[name]
        body: Any = msgspec.convert(fields, cls)
    except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise UnknownMessageError(str(error)) from error
    return Frame(int(call_id), bool(is_answer), body)
