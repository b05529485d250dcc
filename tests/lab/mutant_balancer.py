"""A small balancer that is wrong in one chosen way, or in none: what the checker must find, or pass. `python
mutant_balancer.py WAY`; it reads PROXY_CONFIG as the real one does."""

import asyncio
import json
import os
import sys

WAY = sys.argv[1]
CONFIG = json.load(open(os.environ["PROXY_CONFIG"]))
SERVERS: dict[str, dict] = {}
ONCE_ONLY = {
    t["name"] for t in CONFIG["settings"]["serviceTypes"] if t["semantics"] == "at_most_once"
}
count = 0


def learn(entries):
    for entry in entries:
        if (
            WAY == "drained"
            and entry["instanceId"] in SERVERS
            and entry["lifecycle"] != "in_service"
        ):
            continue
        SERVERS[entry["instanceId"]] = entry


def address(entry):
    host, _, port = entry["hostPort"].rpartition(":")
    return host, int(port)


def candidates():
    ready = [e for e in SERVERS.values() if e["lifecycle"] == "in_service"]
    cold = [e for e in ready if e["startedAtMs"]]
    if WAY == "cold" and cold:
        return cold
    return [e for e in ready if not e["startedAtMs"]] or ready


async def watch():
    while True:
        try:
            host, _, port = CONFIG["discovery"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(b"GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n")
            while line := await reader.readline():
                if line.startswith(b"{"):
                    learn(json.loads(line)["instances"])
        except OSError:
            await asyncio.sleep(0.05)


async def connect(entry, line):
    """The server's first line, and the connection; refused, it never ran."""
    try:
        reader, writer = await asyncio.open_connection(*address(entry))
    except OSError:
        return b"BUSY\r\n", None, None
    writer.write(line)
    try:
        return await reader.readline(), reader, writer
    except OSError:
        return b"", reader, writer


async def client(reader, writer):
    global count
    try:
        while (line := await reader.readline()) == b"PING\r\n":
            writer.write(b"PONG\r\n")
        if line:
            count += 1
            await flow(line, count, reader, writer)
    except OSError:
        pass
    finally:
        writer.close()


async def flow(line, number, reader, writer):
    values = dict(pair.split("=", 1) for pair in line.decode().split()[3].split(","))
    once, wait = values["c"] in ONCE_ONLY, float(values["d"]) / 1000
    if WAY == "silent" and number % 4 == 0:
        return await asyncio.sleep(wait + 1)
    if WAY == "late" and number % 4 == 0:
        await asyncio.sleep(wait + 0.15)
    if WAY == "ends" and number % 4 == 0:
        return
    if WAY == "made up" and number % 4 == 0:
        writer.write(b"UP mine\r\n")
        return await reader.read()
    if WAY == "twice" and number % 4 == 0:
        return writer.write(b"BUSY\r\nERR\r\n")
    if WAY == "after" and number % 4 == 0:
        writer.write(b"BUSY\r\n")
        await asyncio.sleep(0.2)
        return await connect(candidates()[0], line)
    chosen = candidates()
    for turn in range(3):
        entry = chosen[(number + turn) % len(chosen)]
        other = (
            asyncio.create_task(connect(chosen[(number + 1) % len(chosen)], line))
            if WAY == "both"
            else None
        )
        answer, from_server, to_server = await connect(entry, line)
        if other is not None:
            await asyncio.sleep(0.1)
        if answer.startswith(b"UP"):
            writer.write(answer)
            return await stand(reader, writer, from_server, to_server)
        if to_server is not None:
            to_server.close()
        if answer != b"BUSY\r\n" and once and WAY != "again":
            return writer.write(b"BUSY\r\n" if WAY == "rejects" else b"ERR\r\n")
    writer.write(b"BUSY\r\n" if not once else b"ERR\r\n")


async def stand(reader, writer, from_server, to_server):
    async def up():
        n = 0
        while line := await reader.readline():
            n += 1
            if not (WAY == "loses" and n == 2):
                to_server.write(line)
        to_server.write_eof()

    async def down():
        n = 0
        while line := await from_server.readline():
            n += 1
            writer.write(line * (2 if WAY == "doubles" and n == 2 else 1))
            if WAY == "cuts" and n == 3:
                return

    await asyncio.wait(
        [asyncio.create_task(up()), asyncio.create_task(down())],
        return_when=asyncio.FIRST_COMPLETED if WAY == "cuts" else asyncio.ALL_COMPLETED,
    )
    to_server.close()


async def main():
    learn(CONFIG["known"]["instances"])
    host, _, port = CONFIG["listen"].rpartition(":")
    server = await asyncio.start_server(client, host, int(port))
    await asyncio.gather(server.serve_forever(), watch())


if __name__ == "__main__":
    asyncio.run(main())
