"""A protocol that parses a caller's requests in turns."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError

from balsamway.entry.caller_progress import CallerProgress
from balsamway.entry.request_reader import HeadTooLarge, RequestReader
from balsamway.entry.turn_queue import MAX_TURN_BYTES

if TYPE_CHECKING:
    from balsamway.entry.request_reader import StartedRequest
    from balsamway.entry.turn_queue import TurnQueue

MAX_IMMEDIATE_BYTES = 2 << 10
"""More bytes than this, unless they belong to a body, wait for their turn.
Otherwise all connections might parse large heads in one iteration of the
event loop, before any that is given up is freed."""


class RequestProtocol(BaseProtocol, abc.ABC):
    """Parses a bounded part of what arrived in each turn of the event loop.

    Nothing more is received while bytes are left to be parsed, or while
    responses have to be written first.
    """

    def __init__(self, max_header_bytes: int, turns: TurnQueue) -> None:
        """Create the protocol of a new connection.

        Args:
            max_header_bytes: Bounds a head, with what precedes it.
            turns: Lets connections continue to parse in turn.
        """
        super().__init__(asyncio.get_running_loop())
        self._turns = turns
        self._max_header_bytes = max_header_bytes
        self._progress = CallerProgress()
        self._is_closing = False
        """Whether the connection is closed after the pending responses."""
        self._accepts_data = True
        """Whether received bytes are parsed instead of ignored."""
        self._is_half_closed = False
        """Whether this side of the connection is closed for writing."""
        self._is_parse_scheduled = False
        self._reader = RequestReader(self, self._loop, max_header_bytes)
        self._parser = self._reader.parser

    @property
    @abc.abstractmethod
    def _is_full(self) -> bool:
        """Whether responses have to be written before more is read."""

    @abc.abstractmethod
    def _start_request(self, request: StartedRequest) -> None:
        """Handle a request whose head has arrived."""

    @abc.abstractmethod
    def _refuse_malformed(self, error: Exception) -> None:
        """Refuse bytes that are no request, or too many."""

    @abc.abstractmethod
    def _charge(self) -> None:
        """Note the memory that the connection takes."""

    @property
    def _parses_data(self) -> bool:
        return self._accepts_data and (not self._is_closing or self._reader.is_in_body)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and start requests with a complete head.

        Args:
            data: The bytes. None are left to parse what was held back.
        """
        if not self._parses_data:
            return
        if data:
            self._progress.on_active()
            self._reader.add(data)
        if len(data) > MAX_IMMEDIATE_BYTES and not self._reader.is_in_body:
            self._charge()
            self._update_reading()
            self._parse_later()
        else:
            self._parse()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on, and parse in a later turn what the parser held back.

        Streams call this for each chunk that is taken, also if reading was
        not paused. Without a check, each call would be a turn of its own.

        Args:
            resume_parser: Whether bytes may be left to be parsed.
        """
        if not self._reading_paused:
            return
        self._reading_paused = False
        if resume_parser:
            self._parse_later()
        if not self._buffer_paused:
            self._resume_transport_reading()

    def _parse(self) -> int:
        """Parse what one turn may take, and return its work in bytes."""
        reader, work_bytes = self._reader, 0
        try:
            reader.resume()
            while self._has_work and work_bytes < MAX_TURN_BYTES:
                request, piece_work_bytes = reader.read_next()
                work_bytes += piece_work_bytes
                if request is not None:
                    self._progress.on_parsed(is_in_head=False)
                    self._start_request(request)
                if reader.is_upgraded:
                    self._stop_reading()
        except (HttpProcessingError, HeadTooLarge, ValueError) as error:
            self._refuse_malformed(error)
        self._progress.on_parsed(self._reader.has_head_begun)
        self._charge()
        if self._buffer_paused or self._reader.has_unread or self._is_full:
            self._update_reading()
            if self._has_work:
                self._parse_later()
        return work_bytes

    def _parse_later(self) -> None:
        if not self._is_parse_scheduled:
            self._is_parse_scheduled = True
            self._turns.add(self._continue_parsing)

    def _continue_parsing(self) -> int:
        self._is_parse_scheduled = False
        return self._parse() if self._parses_data else 0

    @property
    def _has_work(self) -> bool:
        return (
            self._reader.has_unread
            and self._parses_data
            and not self._reading_paused
            and not self._is_full
        )

    def _update_reading(self) -> None:
        holds_back = self._is_full or (self._parses_data and self._reader.has_unread)
        if holds_back and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif self._buffer_paused and not holds_back and not self._is_half_closed:
            self._resume_reading_for_buffer()

    def _stop_reading(self) -> None:
        self._is_closing = True
        self._accepts_data = False

    def _replace_reader(self) -> None:
        """Drop the unread bytes, and the head that the parser holds."""
        self._reader = RequestReader(self, self._loop, self._max_header_bytes)
        self._parser = self._reader.parser
        self._progress.on_parsed(is_in_head=False)
