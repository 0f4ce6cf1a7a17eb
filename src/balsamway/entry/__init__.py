"""Connections of callers: their requests and the ordered responses."""

from balsamway.entry.body_stream import BodyStream
from balsamway.entry.caller_codec import CallerCodec
from balsamway.entry.entry_listener import EntryListener
from balsamway.entry.entry_request import EntryRequest

__all__ = ["BodyStream", "CallerCodec", "EntryListener", "EntryRequest"]
