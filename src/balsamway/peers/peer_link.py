"""The stream to one peer, over which this host's calls go out."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING, Any

import mode

from balsamway.address import split_address
from balsamway.exchange.socket_options import bound_silence
from balsamway.peers._framing import frames
from balsamway.peers.codec import Frame, encode
from balsamway.peers.hello import Hello
from balsamway.peers.peers import PeerFailure
from balsamway.peers.unhandled import Unhandled

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

CONNECT_TIMEOUT_SECONDS = 1.0
RECONNECT_SECONDS = 0.2
RECONNECT_JITTER_SECONDS = 0.2
UNSENT_LIMIT_BYTES = 4 * 1024 * 1024

logger = logging.getLogger(__name__)


class PeerLink(mode.Service):
    """Keeps one connection to a peer and matches answers with calls."""

    def __init__(
        self,
        peer: str,
        hello: Hello,
        address_of: Callable[[str], str | None],
        rng: random.Random,
    ) -> None:
        """Prepares the link; it connects when started.

        Args:
            peer: The name of the peer.
            hello: The first message on each connection.
            address_of: Gives a peer's current `ip:port`, or None.
            rng: Spreads the attempts to connect.
        """
        super().__init__()
        self._peer = peer
        self._hello = hello
        self._address_of = address_of
        self._rng = rng
        self._writer: asyncio.StreamWriter | None = None
        self._connected = asyncio.Event()
        self._call_ids = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}

    @property
    def label(self) -> str:
        """The name of the service in logs and in the state dump."""
        return f"PeerLink({self._peer})"

    @property
    def connected(self) -> bool:
        """Whether the stream is open."""
        return self._writer is not None

    async def call(self, message: Any, timeout_seconds: float) -> Any:
        """Sends a message and waits for its answer.

        Args:
            message: A registered message.
            timeout_seconds: The longest time to wait, connecting included.

        Returns:
            The answer, or a `PeerFailure`.
        """
        call_id = next(self._call_ids)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = answer
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._connected.wait()
                self._write(Frame(call_id, False, message))
                return await answer
        except TimeoutError:
            return PeerFailure("timeout")
        finally:
            self._pending.pop(call_id, None)

    def send(self, message: Any) -> None:
        """Sends a message that wants no answer, or drops it.

        Args:
            message: A registered message.
        """
        self._write(Frame(0, False, message))

    def dump(self) -> dict[str, object]:
        """Describes the link for the state dump."""
        return {
            "address": self._address_of(self._peer),
            "connected": self.connected,
            "waiting": len(self._pending),
        }

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            address = self._address_of(self._peer)
            if address is not None:
                await self._connect(address)
            jitter = RECONNECT_JITTER_SECONDS * self._rng.random()
            await self.sleep(RECONNECT_SECONDS + jitter)

    async def on_stop(self) -> None:
        """Closes the stream."""
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
        self._connected.set()
        try:
            async for frame in frames(reader):
                self._on_answer(frame)
        except (OSError, ValueError) as error:
            logger.info(
                "peer stream broken", extra={"peer": self._peer, "error": str(error)}
            )
        finally:
            self._disconnect()

    def _on_answer(self, frame: Frame) -> None:
        waiting = self._pending.get(frame.call_id)
        if not frame.is_answer or waiting is None or waiting.done():
            return
        match frame.message:
            case Unhandled(reason=reason):
                waiting.set_result(PeerFailure(reason))
            case answer:
                waiting.set_result(answer)

    def _write(self, frame: Frame) -> None:
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > UNSENT_LIMIT_BYTES:
            writer.transport.abort()
            return
        writer.write(encode(frame))

    def _disconnect(self) -> None:
        self._connected.clear()
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for waiting in self._pending.values():
            if not waiting.done():
                waiting.set_result(PeerFailure("connection lost"))
