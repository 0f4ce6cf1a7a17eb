"""The callers' side: connections, requests in their order, and answers."""

from balsamway.entry.caller_codec import CallerCodec
from balsamway.entry.entry_listener import EntryListener
from balsamway.entry.entry_request import EntryRequest

__all__ = ["CallerCodec", "EntryListener", "EntryRequest"]
