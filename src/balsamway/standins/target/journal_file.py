"""A file of JSON lines that a stand-in writes its journal to."""

from __future__ import annotations

from pathlib import Path
from typing import IO, TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from _typeshed import DataclassInstance


class JournalFile:
    """Appends records as JSON lines; does nothing without a file name."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._file: IO[bytes] | None = None

    def open(self) -> None:
        """Opens the file, if there is to be one."""
        if self._name:
            self._file = Path(self._name).open("ab", buffering=0)

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def write(self, kind: str, record: DataclassInstance) -> None:
        """Appends one record.

        Args:
            kind: What the record is of.
            record: The record.
        """
        if self._file is None:
            return
        fields = msgspec.to_builtins(record)
        self._file.write(msgspec.json.encode({"kind": kind} | fields) + b"\n")
