"""A small store over HTTP, for processes that are tested as a whole."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from tests.fakes.scripted_target import ScriptedTarget


class StoreStandin:
    """Holds objects by kind and name, and serves them like the platform."""

    def __init__(self):
        self.address = ""
        self._revision = 0
        self._objects = {}
        self._changed = asyncio.Event()
        self._server = ScriptedTarget(self._respond)

    async def start(self):
        await self._server.start()
        self.address = self._server.address
        return self

    async def stop(self):
        await self._server.stop()

    def put(self, kind, name, spec):
        """Write an object, and return it as the store encodes it."""
        self._revision += 1
        item = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects[kind, name] = item
        self._changed.set()
        self._changed = asyncio.Event()
        return item

    async def _respond(self, received, writer, number):
        url = urlsplit(received.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        if received.method in ("POST", "PUT"):
            status, document = self._write(kind, json.loads(received.body))
        elif name:
            item = self._objects.get((kind, name))
            status, document = (200, item) if item else (404, {})
        elif "watch" in query:
            status, document = 200, await self._watch(kind, query)
        else:
            items = [item for key, item in self._objects.items() if key[0] == kind]
            items.sort(key=lambda item: item["metadata"]["name"])
            status, document = 200, {"items": items, "asOf": self._revision}
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    def _write(self, kind, document):
        name = document["metadata"]["name"]
        current = self._objects.get((kind, name))
        revision = current["metadata"]["revision"] if current else None
        if document["metadata"].get("revision") != revision:
            return (409, current) if current else (404, {})
        return 200, self.put(kind, name, document["spec"])

    async def _watch(self, kind, query):
        after = int(query["watch"])
        events = self._events(kind, after)
        if not events:
            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
            events = self._events(kind, after)
        return {"events": events, "asOf": self._revision}

    def _events(self, kind, after):
        return [
            {"object": item}
            for key, item in self._objects.items()
            if key[0] == kind and item["metadata"]["revision"] > after
        ]
