"""Check that every value of a decoded document fits a data class."""

from __future__ import annotations

import dataclasses
from dataclasses import MISSING, dataclass, field
from enum import StrEnum
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from balsamway.configuration.questionnaire.problem import Problem

MAX_SHOWN_CHARACTERS = 60
"""How many characters of a found value are shown."""

DESCRIPTIONS: dict[Any, str] = {bool: "true or false"}

_SECRET_FIELDS = frozenset({"tokens_sha256", "token", "tokens"})


@dataclass(slots=True)
class StructureCheck:
    """Collects every value of a document that does not fit its type."""

    file: str
    problems: list[Problem] = field(default_factory=list)

    def check(self, found: Any, expected: Any, place: str = "") -> None:
        """Compare a value, and all values within it, to the expected type.

        Args:
            found: The value as decoded from JSON.
            expected: A data class, a tuple of one type, or a plain type.
            place: The path of the value in the document.
        """
        if dataclasses.is_dataclass(expected):
            self._check_object(found, expected, place)
        elif get_origin(expected) is tuple:
            self._check_array(found, get_args(expected)[0], place)
        else:
            self._check_value(found, expected, place)

    def report(self, place: str, found: str, expected: str) -> None:
        """Add a problem.

        Args:
            place: The path of the value in the document.
            found: A description of what was found.
            expected: A description of what was expected.
        """
        self.problems.append(Problem(self.file, place, found, expected))

    def _check_object(self, found: Any, expected: Any, place: str) -> None:
        if not isinstance(found, dict):
            self.report(place, describe_found(found, place), "an object")
            return
        hints = get_type_hints(expected, include_extras=True)
        for name in found.keys() - hints.keys():
            known_names = ", ".join(hints)
            self.report(
                join_place(place, str(name)),
                "an unknown field",
                f"one of {known_names}",
            )
        for field_ in dataclasses.fields(expected):
            inner_place = join_place(place, field_.name)
            if field_.name in found:
                self.check(found[field_.name], hints[field_.name], inner_place)
            elif field_.default is MISSING and field_.default_factory is MISSING:
                self.report(inner_place, "nothing", "a value")

    def _check_array(self, found: Any, expected: Any, place: str) -> None:
        if not isinstance(found, list):
            self.report(place, describe_found(found, place), "an array")
            return
        for index, item in enumerate(found):
            self.check(item, expected, f"{place}[{index}]")

    def _check_value(self, found: Any, expected: Any, place: str) -> None:
        try:
            msgspec.convert(found, expected)
        except msgspec.ValidationError:
            self.report(
                place, describe_found(found, place), describe_expected(expected)
            )


def join_place(place: str, name: str) -> str:
    """Return the path of a field.

    Args:
        place: The path of the object; empty for the whole document.
        name: The field's name.

    Returns:
        The path of the field.
    """
    return f"{place}.{name}" if place else name


def describe_found(found: Any, place: str) -> str:
    """Describe a found value without showing what may be a secret.

    Args:
        found: The value as decoded from JSON.
        place: The path of the value in the document.

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
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f"{text[:MAX_SHOWN_CHARACTERS]}..."
    return text


def describe_expected(expected: Any) -> str:
    """Describe the values of a plain type.

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
