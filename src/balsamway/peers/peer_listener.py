"""Accepts the streams of peers and dispatches their messages."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import mode

from balsamway.address import split_address
from balsamway.exchange.socket_options import bound_silence
from balsamway.peers._framing import read_frames
from balsamway.peers.codec import Frame, encode
from balsamway.peers.hello import Hello
from balsamway.peers.unhandled import Unhandled

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PROTOCOL_VERSION = 1
"""The version of the protocol, which both ends of a stream must share."""
MAX_STREAMS = 4096
"""Bounds the streams that are open at a time. Further ones are closed."""

logger = logging.getLogger(__name__)


class PeerListener(mode.Service):
    """Serves the calls of other entry hosts, with one task per stream."""

    def __init__(
        self, address: str, dispatch: Callable[[str, Any], Awaitable[Any]]
    ) -> None:
        """Create a listener that listens once it is started.

        Args:
            address: The `ip:port` to listen on. Port 0 selects a free port.
            dispatch: Handles a message and returns the response. It is called
                with the sender's name and the message.
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
        """Start to listen."""
        ip, port = split_address(self._address)
        self._server = await asyncio.start_server(self._on_stream, ip, port)

    async def on_stop(self) -> None:
        """Stop listening and close every stream."""
        if self._server is not None:
            self._server.close()
        for writer in self._streams:
            writer.close()

    async def _on_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._streams) >= MAX_STREAMS:
            writer.close()
            return
        bound_silence(writer.transport)
        self._streams.add(writer)
        try:
            async with asyncio.TaskGroup() as responses:
                await self._serve(reader, writer, responses)
        except* (OSError, ValueError) as group:
            logger.info("peer stream broken", extra={"error": str(group.exceptions[0])})
        finally:
            self._streams.discard(writer)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        responses: asyncio.TaskGroup,
    ) -> None:
        """Handle the messages of one stream until it ends.

        The stream ends early if it does not begin with a `Hello` of the same
        protocol version, or brings a response.

        Args:
            reader: The incoming half of the stream.
            writer: The outgoing half, for the responses.
            responses: Runs the handlers of calls.
        """
        peer = ""
        async for frame in read_frames(reader):
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
                    responses.create_task(
                        self._respond(peer, frame.call_id, message, writer)
                    )

    async def _respond(
        self, peer: str, call_id: int, message: Any, writer: asyncio.StreamWriter
    ) -> None:
        response = await self._dispatch(peer, message)
        if response is None:
            response = Unhandled("no answer")
        if not writer.is_closing():
            writer.write(encode(Frame(call_id, True, response)))
