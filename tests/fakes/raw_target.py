"""A target whose script reads each connection by itself."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tests.fakes.scripted_target import read_head


@dataclass
class RawTarget:
    """Calls `script(headers, reader, writer, number)` for each request head.

    `number` counts the heads from 1. The script reads the body.
    """

    script: object
    heads: list = field(default_factory=list)
    """The headers of each request."""
    ends: list = field(default_factory=list)
    """How each connection ended: "end", or the name of the error."""
    address: str = ""
    _server: object = None
    _tasks: set = field(default_factory=set)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                self.heads.append(head[1])
                await self.script(head[1], reader, writer, len(self.heads))
                if writer.transport.is_closing():
                    break
            self.ends.append("end")
        except (OSError, EOFError) as error:
            self.ends.append(type(error).__name__)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def read_pieces(headers, reader):
    """Yield the body's pieces, and raise `EOFError` if it is incomplete."""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            yield await reader.readexactly(size)
            assert await reader.readexactly(2) == b"\r\n"
        assert await reader.readexactly(2) == b"\r\n"
        return
    left = int(headers.get("content-length", "0"))
    while left:
        piece = await reader.read(min(left, 65_536))
        if not piece:
            raise EOFError("the body is incomplete")
        left -= len(piece)
        yield piece
