"""Checks that a decoded document fits a data class, piece by piece."""

from __future__ import annotations

import dataclasses
from dataclasses import MISSING, dataclass, field
from enum import StrEnum
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from balsamway.configuration.questionnaire.problem import Problem

LONGEST_SHOWN = 60
"""How many characters of a found text are shown."""

DESCRIPTIONS: dict[Any, str] = {bool: "true or false"}

_SECRET_FIELDS = frozenset({"tokens_sha256", "token", "tokens"})


@dataclass(slots=True)
class StructureCheck:
    """Collects every piece of a document that does not fit its type."""

    file: str
    problems: list[Problem] = field(default_factory=list)

    def check(self, found: Any, expected: Any, place: str = "") -> None:
        """Compares one piece, and all within it, to the expected type.

        Args:
            found: The piece, as decoded from JSON.
            expected: A data class, a tuple of one type, or a plain type.
            place: Where the piece stands in the document.
        """
        if dataclasses.is_dataclass(expected):
            self._check_object(found, expected, place)
        elif get_origin(expected) is tuple:
            self._check_array(found, get_args(expected)[0], place)
        else:
            self._check_value(found, expected, place)

    def report(self, place: str, found: str, expected: str) -> None:
        """Adds a problem.

        Args:
            place: Where it stands in the document.
            found: What was found there.
            expected: What was expected there.
        """
        self.problems.append(Problem(self.file, place, found, expected))

    def _check_object(self, found: Any, expected: Any, place: str) -> None:
        if not isinstance(found, dict):
            self.report(place, shown(found, place), "an object")
            return
        hints = get_type_hints(expected, include_extras=True)
        for name in found.keys() - hints.keys():
            known = ", ".join(hints)
            self.report(join(place, str(name)), "an unknown field", f"one of {known}")
        for part in dataclasses.fields(expected):
            inner = join(place, part.name)
            if part.name in found:
                self.check(found[part.name], hints[part.name], inner)
            elif part.default is MISSING and part.default_factory is MISSING:
                self.report(inner, "nothing", "a value")

    def _check_array(self, found: Any, expected: Any, place: str) -> None:
        if not isinstance(found, list):
            self.report(place, shown(found, place), "an array")
            return
        for index, item in enumerate(found):
            self.check(item, expected, f"{place}[{index}]")

    def _check_value(self, found: Any, expected: Any, place: str) -> None:
        try:
            msgspec.convert(found, expected)
        except msgspec.ValidationError:
            self.report(place, shown(found, place), described(expected))


def join(place: str, name: str) -> str:
    """Names a field within a place.

    Args:
        place: The place of the object; empty for the document.
        name: The field's name.

    Returns:
        The place of the field.
    """
    return f"{place}.{name}" if place else name


def shown(found: Any, place: str) -> str:
    """Describes a found value, without showing what may be a secret.

    Args:
        found: The value, as decoded from JSON.
        place: Where it stands in the document.

    Returns:
        A short description.
    """
    if isinstance(found, dict):
        return "an object"
    if isinstance(found, list):
        return "an array"
    if found is None:
        return "null"
    if place.split("[")[0].split(".")[-1] in _SECRET_FIELDS:
        return f"a value of {len(str(found))} characters that is not shown"
    if isinstance(found, bool):
        return str(found).lower()
    text = repr(found)
    if len(text) > LONGEST_SHOWN:
        return f"{text[:LONGEST_SHOWN]}..."
    return text


def described(expected: Any) -> str:
    """Describes what a plain type expects.

    Args:
        expected: An enumeration, an annotated type or a built-in one.

    Returns:
        A short description.
    """
    if isinstance(expected, type) and issubclass(expected, StrEnum):
        return f"one of {', '.join(expected)}"
    metas = getattr(expected, "__metadata__", ())
    texts = [meta.description for meta in metas if isinstance(meta, msgspec.Meta)]
    if texts and texts[0]:
        return texts[0]
    return DESCRIPTIONS.get(expected, getattr(expected, "__name__", "another type"))
