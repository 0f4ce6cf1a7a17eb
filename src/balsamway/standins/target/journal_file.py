"""Writes the journal of a stand-in to a file of JSON lines."""

from __future__ import annotations

from pathlib import Path
from typing import IO, TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from _typeshed import DataclassInstance


class JournalFile:
    """Appends records to a file, one JSON object per line.

    Args:
        name: The file's name; empty to write nothing.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._file: IO[bytes] | None = None

    def open(self) -> None:
        """Open the file for appending if a name is given."""
        if self._name:
            self._file = Path(self._name).open("ab", buffering=0)

    def close(self) -> None:
        """Close the file if it is open."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def write(self, kind: str, record: DataclassInstance) -> None:
        """Append one record.

        Args:
            kind: The type of the record, written as the field `kind`.
            record: The record, written with its own field names.
        """
        if self._file is None:
            return
        fields = msgspec.to_builtins(record)
        self._file.write(msgspec.json.encode({"kind": kind} | fields) + b"\n")
