"""The outgoing stream to one peer, for this host's calls."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING, Any

import mode

from balsamway.address import split_address
from balsamway.exchange.socket_options import bound_silence
from balsamway.peers._framing import read_frames
from balsamway.peers.codec import Frame, encode
from balsamway.peers.hello import Hello
from balsamway.peers.peers import PeerFailure
from balsamway.peers.unhandled import Unhandled

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

CONNECT_TIMEOUT_SECONDS = 1.0
"""Bounds the time to open a stream."""
MIN_RECONNECT_DELAY_SECONDS = 0.2
"""The least delay between two attempts to connect."""
MAX_RECONNECT_JITTER_SECONDS = 0.2
"""Bounds the random time that is added to the delay."""
MAX_UNSENT_BYTES = 4 * 1024 * 1024
"""Bounds the bytes that wait to be sent. A stream that exceeds the bound is
aborted."""

logger = logging.getLogger(__name__)


class PeerLink(mode.Service):
    """Keeps a stream to one peer open and matches responses with calls."""

    def __init__(
        self,
        peer: str,
        hello: Hello,
        address_of: Callable[[str], str | None],
        rng: random.Random,
    ) -> None:
        """Create a link that connects once it is started.

        Args:
            peer: The name of the peer.
            hello: The first message on each stream.
            address_of: Returns a peer's current `ip:port`, or None if it is
                not known.
            rng: Adds jitter to the delays between attempts to connect.
        """
        super().__init__()
        self._peer = peer
        self._hello = hello
        self._address_of = address_of
        self._rng = rng
        self._writer: asyncio.StreamWriter | None = None
        self._connected_event = asyncio.Event()
        self._next_call_ids = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}

    @property
    def label(self) -> str:
        """The label of the service in logs and in the state dump."""
        return f"PeerLink({self._peer})"

    @property
    def is_connected(self) -> bool:
        """Whether the stream is open."""
        return self._writer is not None

    async def call(self, message: Any, timeout_seconds: float) -> Any:
        """Send a message and wait for the response.

        Args:
            message: A registered message.
            timeout_seconds: The longest time to wait, including the time to
                connect.

        Returns:
            The response, or a `PeerFailure`.
        """
        call_id = next(self._next_call_ids)
        response: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = response
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._connected_event.wait()
                self._write(Frame(call_id, False, message))
                return await response
        except TimeoutError:
            return PeerFailure("timeout")
        finally:
            self._pending_calls.pop(call_id, None)

    def send(self, message: Any) -> None:
        """Send a message without a response, or drop it if not connected.

        Args:
            message: A registered message.
        """
        self._write(Frame(0, False, message))

    def dump(self) -> dict[str, object]:
        """Return the link's state for the state dump."""
        return {
            "address": self._address_of(self._peer),
            "connected": self.is_connected,
            "waiting": len(self._pending_calls),
        }

    @mode.Service.task
    async def _keep_connected(self) -> None:
        while not self.should_stop:
            address = self._address_of(self._peer)
            if address is not None:
                await self._connect(address)
            jitter = MAX_RECONNECT_JITTER_SECONDS * self._rng.random()
            await self.sleep(MIN_RECONNECT_DELAY_SECONDS + jitter)

    async def on_stop(self) -> None:
        """Close the stream."""
        self._disconnect()

    async def _connect(self, address: str) -> None:
        try:
            ip, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(ip, port)
        except (OSError, ValueError):
            return
        bound_silence(writer.transport)
        self._writer = writer
        self._write(Frame(0, False, self._hello))
        self._connected_event.set()
        try:
            async for frame in read_frames(reader):
                self._on_frame(frame)
        except (OSError, ValueError) as error:
            logger.info(
                "peer stream broken", extra={"peer": self._peer, "error": str(error)}
            )
        finally:
            self._disconnect()

    def _on_frame(self, frame: Frame) -> None:
        pending_call = self._pending_calls.get(frame.call_id)
        if not frame.is_answer or pending_call is None or pending_call.done():
            return
        match frame.message:
            case Unhandled(reason=reason):
                pending_call.set_result(PeerFailure(reason))
            case response:
                pending_call.set_result(response)

    def _write(self, frame: Frame) -> None:
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            writer.transport.abort()
            return
        writer.write(encode(frame))

    def _disconnect(self) -> None:
        self._connected_event.clear()
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for pending_call in self._pending_calls.values():
            if not pending_call.done():
                pending_call.set_result(PeerFailure("connection lost"))
