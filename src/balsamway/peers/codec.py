"""Turns typed messages into msgpack and back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

import msgpack
import msgspec

T = TypeVar("T", bound=type)

_types: dict[str, type] = {}
_names: dict[type, str] = {}


class UnknownMessageError(ValueError):
    """The message's name is not registered, or its fields do not fit."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One message on a stream."""

    call_id: int
    """Ties an answer to its call; 0 for a message that wants no answer."""
    is_answer: bool
    message: Any


def message(name: str) -> Any:
    """Registers a data class as a message between entry hosts.

    Args:
        name: The message's name on the wire.

    Returns:
        The class decorator.
    """

    def register(cls: T) -> T:
        if name in _types:
            raise ValueError(f"message {name} is registered twice")
        _types[name] = cls
        _names[cls] = name
        return cls

    return register


def encode(frame: Frame) -> bytes:
    """Encodes a frame.

    Args:
        frame: The frame; its message is of a registered class.

    Returns:
        The frame as msgpack.
    """
    name = _names[type(frame.message)]
    fields = msgspec.to_builtins(frame.message, builtin_types=(bytes,))
    return msgpack.packb((frame.call_id, frame.is_answer, name, fields))


def decode(parts: Any) -> Frame:
    """Decodes a frame that msgpack has unpacked.

    Args:
        parts: What `msgpack.Unpacker` gave.

    Returns:
        The frame.

    Raises:
        UnknownMessageError: If it is no frame that this host knows.
    """
    try:
        call_id, is_answer, name, fields = parts
        cls = _types[name]
        body: Any = msgspec.convert(fields, cls)
    except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
        raise UnknownMessageError(str(error)) from error
    return Frame(int(call_id), bool(is_answer), body)
