"""Accepts the streams of peers and hands their messages to handlers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import mode

from balsamway.address import split_address
from balsamway.exchange.socket_options import bound_silence
from balsamway.peers._framing import frames
from balsamway.peers.codec import Frame, encode
from balsamway.peers.hello import Hello
from balsamway.peers.unhandled import Unhandled

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PROTOCOL_VERSION = 1
STREAMS_AT_MOST = 4096

logger = logging.getLogger(__name__)


class PeerListener(mode.Service):
    """Serves the calls of other entry hosts, one task for each stream."""

    def __init__(
        self, address: str, dispatch: Callable[[str, Any], Awaitable[Any]]
    ) -> None:
        """Prepares the listener.

        Args:
            address: The `ip:port` to listen on; port 0 for any.
            dispatch: Takes the sender's name and a message; gives the answer.
        """
        super().__init__()
        self._address = address
        self._dispatch = dispatch
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The `ip:port` that the listener is bound to."""
        if self._server is None:
            return self._address
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    async def on_start(self) -> None:
        """Binds the address."""
        ip, port = split_address(self._address)
        self._server = await asyncio.start_server(self._on_stream, ip, port)

    async def on_stop(self) -> None:
        """Closes the listener and every stream."""
        if self._server is not None:
            self._server.close()
        for writer in self._streams:
            writer.close()

    async def _on_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._streams) >= STREAMS_AT_MOST:
            writer.close()
            return
        bound_silence(writer.transport)
        self._streams.add(writer)
        try:
            async with asyncio.TaskGroup() as answers:
                await self._serve(reader, writer, answers)
        except* (OSError, ValueError) as group:
            logger.info("peer stream broken", extra={"error": str(group.exceptions[0])})
        finally:
            self._streams.discard(writer)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: asyncio.TaskGroup,
    ) -> None:
        peer = ""
        async for frame in frames(reader):
            match frame.message:
                case Hello(host=host, protocol=protocol):
                    if protocol != PROTOCOL_VERSION:
                        return
                    peer = host
                case _ if not peer or frame.is_answer:
                    return
                case message if frame.call_id == 0:
                    await self._dispatch(peer, message)
                case message:
                    answers.create_task(
                        self._answer(peer, frame.call_id, message, writer)
                    )

    async def _answer(
        self, peer: str, call_id: int, message: Any, writer: asyncio.StreamWriter
    ) -> None:
        answer = await self._dispatch(peer, message)
        if answer is None:
            answer = Unhandled("no answer")
        if not writer.is_closing():
            writer.write(encode(Frame(call_id, True, answer)))
