"""Interfaces and clients of the platform's object store and host list."""

from balsamway.store.host import Host, HostRole, HostState
from balsamway.store.host_list import HostList
from balsamway.store.store import (
    Absent,
    Conflict,
    Store,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

__all__ = [
    "Absent",
    "Conflict",
    "Host",
    "HostList",
    "HostRole",
    "HostState",
    "Store",
    "StoredObject",
    "Unavailable",
    "WriteUnknown",
    "Written",
]
