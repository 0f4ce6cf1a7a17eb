from __future__ import annotations

import asyncio


class ConfigurationPlatform:
    """An HTTP server that answers each request with the next scripted bytes.

    A scripted response of None leaves the request open. `closes` is whether
    the server closes the connection after a response.
    """

    def __init__(self):
        self.answers = []
        self.requests = []
        self.closes = False
        self._server = None
        self._writers = []

    @property
    def url(self):
        ip, port = self._server.sockets[0].getsockname()
        return f"http://{ip}:{port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    def answer(self, status, body=b"", version=None, length=None):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {length or len(body)}"]
        if version is not None:
            lines.append(f"Balsamway-Version: {version}")
        self.answers.append("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines[1:] if line)
                await reader.readexactly(int(headers.get("Content-Length", 0)))
                self.requests.append((lines[0].removesuffix(" HTTP/1.1"), headers))
                response = self.answers.pop(0)
                if response is None:
                    await asyncio.Event().wait()
                writer.write(response)
                if self.closes:
                    break
        except asyncio.IncompleteReadError:
            pass
        writer.close()
