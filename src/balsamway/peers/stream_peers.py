"""The connections of this entry host with its peers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import mode

from balsamway.peers.hello import Hello
from balsamway.peers.peer_link import PeerLink
from balsamway.peers.peer_listener import PROTOCOL_VERSION, PeerListener
from balsamway.peers.peers import PeerFailure
from balsamway.peers.unhandled import Unhandled

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from balsamway.peers.peers import Handler

logger = logging.getLogger(__name__)


class StreamPeers(mode.Service):
    """Implements `Peers` with TCP streams.

    It has one listener, and a link to each peer that is created when a
    message is sent to that peer for the first time.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        address: str,
        address_of: Callable[[str], str | None],
        rng: random.Random,
    ) -> None:
        """Create the listener, which listens once this service is started.

        Args:
            host: This host's name.
            incarnation: The incarnation of this host's daemon.
            address: The `ip:port` to listen on.
            address_of: Returns a peer's current `ip:port`, or None if it is
                not known.
            rng: Adds jitter to the delays between attempts to connect.
        """
        super().__init__()
        self._host = host
        self._hello = Hello(host, incarnation, PROTOCOL_VERSION)
        self._address_of = address_of
        self._rng = rng
        self._links: dict[str, PeerLink] = {}
        self._handlers: dict[type, Handler] = {}
        self._listener = PeerListener(address, self._dispatch)

    @property
    def address(self) -> str:
        """The `ip:port` that peers connect to."""
        return self._listener.address

    async def on_start(self) -> None:
        """Start to listen."""
        await self.add_runtime_dependency(self._listener)

    async def call(self, host: str, message: Any, timeout_seconds: float) -> Any:
        """Send a message and wait for the response; see `Peers`."""
        if host == self._host:
            return _response_or_failure(await self._dispatch(host, message))
        link = await self._get_link(host)
        return await link.call(message, timeout_seconds)

    def send(self, host: str, message: Any) -> None:
        """Send a message without a response; see `Peers`."""
        if host == self._host:
            self.add_future(self._dispatch(host, message))
            return
        link = self._links.get(host)
        if link is None:
            self.add_future(self._get_link(host))
            return
        link.send(message)

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message class; see `Peers`."""
        if message_type in self._handlers:
            raise ValueError(f"{message_type.__name__} already has a handler")
        self._handlers[message_type] = handler

    def dump(self) -> dict[str, object]:
        """Return the state of the streams for the state dump."""
        links = {name: link.dump() for name, link in sorted(self._links.items())}
        return {"address": self.address, "links": links}

    async def _get_link(self, host: str) -> PeerLink:
        link = self._links.get(host)
        if link is None:
            link = PeerLink(host, self._hello, self._address_of, self._rng)
            self._links[host] = link
            await self.add_runtime_dependency(link)
        return link

    async def _dispatch(self, sender: str, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            return Unhandled(f"no handler for {type(message).__name__}")
        try:
            return await handler(sender, message)
        except Exception as error:
            logger.exception(
                "handler failed",
                extra={"sender": sender, "message_type": type(message).__name__},
            )
            return Unhandled(f"handler failed: {type(error).__name__}")


def _response_or_failure(response: Any) -> Any:
    match response:
        case Unhandled(reason=reason):
            return PeerFailure(reason)
        case None:
            return PeerFailure("no answer")
        case _:
            return response
