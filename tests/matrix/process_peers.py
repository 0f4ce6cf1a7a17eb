from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from balsamway.peers.peers import Handler
    from tests.fakes.network import FakePeers
    from tests.matrix.process import Process


class ProcessPeers:
    """The network peers of one process, which runs the message handlers."""

    def __init__(self, peers: FakePeers, process: Process) -> None:
        self._peers = peers
        self._process = process

    def register_handler(self, message_type: type, handler: Handler) -> None:
        async def in_process(sender: str, message: Any) -> Any:
            return await self._process.start(handler(sender, message))

        self._peers.register_handler(message_type, in_process)

    async def call(self, host: str, message: Any, timeout_seconds: float) -> Any:
        return await self._peers.call(host, message, timeout_seconds)

    def send(self, host: str, message: Any) -> None:
        self._peers.send(host, message)
