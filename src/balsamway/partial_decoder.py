"""Decode JSON part by part, so that an invalid part costs only itself."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
"""What `msgspec` raises; the second for a value that is nested too deeply."""

T = TypeVar("T")


class PartialDecoder:
    """Decodes the parts of a document, and collects their problems."""

    def __init__(self) -> None:
        self._problems: list[str] = []

    @property
    def problems(self) -> tuple[str, ...]:
        """The parts that are invalid, with the reasons."""
        return tuple(self._problems)

    def add_problem(self, part: str, reason: object) -> None:
        """Record that a part is invalid.

        Args:
            part: The path of the part.
            reason: What is wrong with it.
        """
        self._problems.append(f"{part}: {reason}")

    def decode(self, body: bytes | msgspec.Raw, cls: type[T], part: str) -> T | None:
        """Decode a part.

        Args:
            body: The part, JSON.
            cls: The type to decode it to.
            part: The path of the part.

        Returns:
            The value, or None if the part is invalid.
        """
        try:
            return msgspec.json.decode(body, type=cls)
        except DECODE_ERRORS as error:
            self.add_problem(part, error)
            return None

    def decode_fields(self, body: msgspec.Raw, cls: type[T], part: str) -> T:
        """Decode a structure; a field that is invalid has its default.

        Args:
            body: The structure, JSON.
            cls: A `msgspec.Struct` whose fields all have defaults.
            part: The path of the structure.
        """
        fields = self.decode(body, dict[str, Any], part) or {}
        known = {}
        for name, value in fields.items():
            try:
                msgspec.convert({name: value}, cls)
            except DECODE_ERRORS as error:
                self.add_problem(part, error)
                continue
            known[name] = value
        return msgspec.convert(known, cls)


def decode_or_none(body: bytes | msgspec.Raw, cls: type[T]) -> T | None:
    """Decode a part whose problem is known already.

    Args:
        body: The part, JSON.
        cls: The type to decode it to.

    Returns:
        The value, or None if the part is invalid.
    """
    return PartialDecoder().decode(body, cls, "")
