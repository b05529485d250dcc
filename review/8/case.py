"""Bad clients send the ids of connections that have been open for a long time.

Some clients connect at the start and stay, as clients of this site do. Others come, are served and
leave. At the end bad clients send the ids of the connections that are still open. None of them may
be served.
"""

import asyncio
import os
import random
from contextlib import suppress
from pathlib import Path

from sites import KINDS, ZONES, mekong_settings
from world import (
    BROKEN,
    HELD,
    HOST,
    VOID,
    Agent,
    Balancer,
    Record,
    Server,
    now,
    play_and_exit,
    trouble,
)

SERVERS = 12
STANDING = 24  # clients that stay
REQUESTS = 8300  # of clients that come and leave
RATE = 77.0  # a second
STAY = 0.15  # seconds
REJOIN = (0.1, 0.7)  # seconds after which a moved client comes again
LINE_EVERY = 2.0  # seconds
TIMEOUT = 3.2  # of the service type, in seconds
BAD_WAIT = 3.0  # within which a bad client is owed an error or a close


class SoundServer(Server):
    """A server that turns away an id whose connection it holds; it knows of no other server's."""

    def __init__(self, name: str, record: Record, zone: str, kind: str):
        """Create a server without connections."""
        super().__init__(name, record, zone, kind)
        self.held: dict[asyncio.StreamWriter, str] = {}

    async def on_line(self, line: str, writer: asyncio.StreamWriter) -> None:
        """Answer a line."""
        for other in [other for other in self.held if other.is_closing()]:
            del self.held[other]
        if line.startswith("OPEN "):
            ident = line.split(" ")[1]
            if ident in self.held.values():
                self.record.add(f"{self.name} turns away {ident}")
                writer.write(b"ERR\r\n")
                return
            self.held[writer] = ident
        await super().on_line(line, writer)


class Traffic:
    """The usual clients of one balancer."""

    def __init__(self, balancer: Balancer, record: Record, rng: random.Random):
        """Create clients that have not come yet."""
        self.balancer = balancer
        self.record = record
        self.rng = rng
        self.open: dict[str, float] = {}  # ids of standing connections, with their beginning
        self.served = 0
        self.turned_away = 0
        self.unanswered = 0

    def word(self) -> str:
        """Return a new id or key."""
        return f"{self.rng.getrandbits(64):016x}"

    def first_line(self, ident: str) -> bytes:
        """Return a first line with a key and group of its own."""
        key = self.word()
        return f"OPEN {ident} {key} c=desk-schedule,t=cantho,d=3200,g={key}\r\n".encode()

    async def visit(self) -> None:
        """Come, be served, and leave."""
        ident = self.word()
        answer = b""
        writer = None
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, self.balancer.port)
            writer.write(self.first_line(ident))
            answer = await asyncio.wait_for(reader.readline(), TIMEOUT + 0.55)
        self.record.add(f"visitor {ident} gets {answer!r}")
        if answer.startswith(b"UP "):
            self.served += 1
            await asyncio.sleep(STAY)
        elif answer:
            self.turned_away += 1
        else:
            self.unanswered += 1
        if writer is not None:
            writer.close()

    async def stand(self) -> None:
        """Stay connected, and come again whenever the balancer moves the connection."""
        while True:
            ident = self.word()
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.balancer.port)
                writer.write(self.first_line(ident))
                answer = await asyncio.wait_for(reader.readline(), TIMEOUT + 0.55)
                self.record.add(f"standing client {ident} gets {answer!r}")
                if answer.startswith(b"UP "):
                    self.open[ident] = now()
                    await self._stay(reader, writer)
                writer.close()
            self.open.pop(ident, None)
            self.record.add(f"standing connection {ident} is over")
            await asyncio.sleep(self.rng.uniform(*REJOIN))

    async def _stay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"line\r\n")
            if await asyncio.wait_for(reader.readline(), 8) != b"line\r\n":
                return
            await asyncio.sleep(LINE_EVERY)

    async def misbehave(self, ident: str) -> bytes:
        """Send the id of another client's connection as a bad client; return the answer."""
        answer = b""
        with suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, self.balancer.port)
            writer.write(self.first_line(ident))
            answer = await asyncio.wait_for(reader.readline(), BAD_WAIT)
            if answer.startswith(b"UP "):
                writer.write(b"bad\r\n")
                echo = await asyncio.wait_for(reader.readline(), 1)
                self.record.add(f"bad client with id {ident} is sent {echo!r} after {answer!r}")
            writer.close()
        return answer


async def play(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    servers = [
        SoundServer(f"s-{i:02}", record, ZONES[i % len(ZONES)], KINDS[i % len(KINDS)])
        for i in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    agent = Agent(record)
    await agent.start()
    agent.put([server.entry() for server in servers])
    config = {
        "discovery": agent.address,
        "known": agent.whole(),
        "settings": mekong_settings(0, 1),
    }
    balancer = Balancer("n0", folder, config)
    traffic = Traffic(balancer, record, random.Random(int(os.environ.get("SEED", "1"))))
    try:
        balancer.start()
        if not await balancer.ready():
            record.say("void: the balancer was not ready")
            return VOID
        standing = [asyncio.ensure_future(traffic.stand()) for _ in range(STANDING)]
        await asyncio.sleep(0.5)
        visits = set()
        due = began = now()
        for _ in range(REQUESTS):
            due += 1 / RATE
            await asyncio.sleep(max(due - now(), 0))
            visit = asyncio.ensure_future(traffic.visit())
            visits.add(visit)
            visit.add_done_callback(visits.discard)
        took = now() - began
        code = await judge(record, traffic, servers)
        record.say(
            f"before: {REQUESTS} requests in {1000 * took:.0f} ms, {traffic.served} served, "
            f"{traffic.turned_away} turned away, {traffic.unanswered} without an answer"
        )
        for client in standing:
            client.cancel()
        return code
    finally:
        balancer.kill()


async def judge(record: Record, traffic: Traffic, servers: list[SoundServer]) -> int:
    """Let the bad clients come, and return the exit code."""
    since = dict(traffic.open)
    if not since:
        record.say("void: no connection was left open")
        return VOID
    served = {}
    for ident, opened in since.items():
        answer = b""
        if trouble():
            answer = await traffic.misbehave(ident)
        age = now() - opened
        still = "open" if traffic.open.get(ident) == opened else "over by now"
        record.add(
            f"id {ident}, open for {1000 * age:.0f} ms, {still}: a bad client gets {answer!r}"
        )
        if answer.startswith(b"UP ") and still == "open":
            served[ident] = age
    for ident in since:
        at = [server.name for server in servers for _, run in server.runs if run == ident]
        if len(at) > 1:
            record.add(f"TWICE {ident} was run at {' and '.join(at)}")
    record.say(
        f"{len(served)} of {len(since)} bad clients were served with the id of another client's "
        f"open connection, {min(served.values(), default=0):.0f} to "
        f"{max(served.values(), default=0):.0f} s old"
    )
    return BROKEN if served else HELD


if __name__ == "__main__":
    play_and_exit(play, Path(__file__).resolve().parent)
