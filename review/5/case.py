"""A route of another host with the same name takes over a route's requests."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import TROUBLE, Client, EntryHost, Instance, Store, every, run  # noqa: E402

CHANGE_AT_S = 4.0
LENGTH_S = 12.0
PER_SECOND = 10.0


def configuration(version, has_second_host, second_name):
    """Return a configuration; its hosts belong to two teams."""

    def route(name, service):
        return {
            "name": name,
            "pathPrefix": "/entries/",
            "routeType": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }

    hosts = [{"host": "logs.example", "paths": [route("entries", "filings")]}]
    if has_second_host:
        hosts.append(
            {"host": "claims.example", "paths": [route(second_name, "claims")]}
        )
    return {
        "version": version,
        "services": [
            {"name": "filings", "healthPath": "/health", "maxConnections": 51},
            {"name": "claims", "healthPath": "/health", "maxConnections": 51},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "hosts": hosts,
    }


async def case(record, to_end):
    store = Store(record)
    await store.start()
    store.put("config", "main", configuration(7, False, ""))
    instances = [
        Instance(record, store, service, f"{service}-{number}")
        for service in ("filings", "claims")
        for number in range(4)
    ]
    for instance in instances:
        await instance.start()
    host = EntryHost(record, store, 1)
    to_end.append(host)
    host.write_settings([host.control])
    await host.start()
    if not await host.wait_ready():
        raise RuntimeError("the entry host is not ready")
    client = Client(record, host)
    while (
        await client.send("check", "POST", "/entries/0", "logs.example", 1500)
    ).status != 200:
        await asyncio.sleep(0.3)
    client.answers.clear()

    async def change():
        await asyncio.sleep(CHANGE_AT_S)
        name = "entries" if TROUBLE else "claim-entries"
        store.put("config", "main", configuration(11, True, name))
        record.say(f"claims.example is added, with a route named {name}")

    def send(number):
        return client.send(
            "repair-filing",
            "POST",
            f"/entries/{number}",
            "logs.example",
            1500,
            None,
            b"x",
        )

    await asyncio.gather(
        change(), every(1 / PER_SECOND, int(LENGTH_S * PER_SECOND), send)
    )
    foreign = {
        request_id
        for instance in instances
        if instance.service == "claims"
        for request_id in instance.ran
    }
    wrong = [answer for answer in client.answers if answer.request_id in foreign]
    served = sum(answer.status == 200 for answer in client.answers)
    record.say(
        f"{served} of {len(client.answers)} requests to logs.example served;"
        f" {len(wrong)} of them were run by claims"
    )
    return bool(wrong)


run(HERE, case)
