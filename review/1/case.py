"""Clients connect by hundreds and say nothing; requests that come behind them wait in the queue."""

import asyncio
import os
import random
from pathlib import Path

from deployment import DANANG_FIELDS, DANANG_ZONES, danang_settings
from standins import (
    BROKEN,
    HELD,
    VOID,
    Agent,
    Balancer,
    Clients,
    LoopDelay,
    Record,
    Server,
    now,
    play_and_exit,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
SERVERS = 10
SOCKETS = 256  # descriptors of the balancer
STANDING = 70  # clients that stay; with the requests under a third of the descriptors
RATE = 4.0  # requests a second meanwhile
STAY = (0.1, 0.3)
WAVES = 3
SILENT = 900  # clients of a wave
BETWEEN = 10  # seconds between two waves
WAIT = 1.200  # d of the requests
LATEST = WAIT + 0.500 + 0.050  # from then on a request with no answer is lost
BACKLOG = 1024  # of the balancer; whoever waits in it has been accepted by the machine
MAX_LOOP_DELAY = 0.2


class Requests:
    """Requests that wait for their answer until it is too late, and what became of them."""

    def __init__(self, balancer: Balancer, record: Record, rng: random.Random):
        """Create no request yet."""
        self.balancer = balancer
        self.record = record
        self.rng = rng
        self.took: list[float] = []  # seconds until an answer, or until the connection ended
        self.lost: list[str] = []

    async def run(self, until: float) -> None:
        """Let requests arrive until a time, and wait for the last one."""
        tasks = []
        while now() < until:
            tasks.append(asyncio.ensure_future(self._request()))
            await asyncio.sleep(self.rng.expovariate(RATE))
        await asyncio.gather(*tasks)

    async def _request(self) -> None:
        ident = f"{self.rng.getrandbits(64):016x}"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.balancer.port)
        except OSError:
            self.record.add(f"{ident} could not connect")
            return
        line = f"OPEN {ident} {ident} {DANANG_FIELDS},g={ident}\r\n".encode()
        writer.write(line)
        sent = now()
        self.record.add(f"{ident} sent")
        try:
            answer = (await asyncio.wait_for(reader.readline(), LATEST)).decode().strip()
            self.took.append(now() - sent)
            self.record.add(f"{ident} {answer or 'ended'} after {now() - sent:.3f} s")
            if answer.startswith("UP "):
                await asyncio.sleep(self.rng.uniform(*STAY))
        except TimeoutError:
            self.lost.append(ident)
            self.record.add(f"LOST {ident} has nothing {now() - sent:.3f} s after it was sent")
        except OSError as error:
            self.took.append(now() - sent)
            self.record.add(f"{ident} {type(error).__name__} after {now() - sent:.3f} s")
        finally:
            writer.close()


async def stay_silent(balancer: Balancer) -> None:
    """Connect, say nothing, and go once the balancer ends the connection."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", balancer.port)
        await reader.read()
        writer.close()
    except OSError:
        pass


async def play(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    if int(Path("/proc/sys/net/core/somaxconn").read_text()) < BACKLOG:
        record.say("void: this machine cuts the balancer's backlog short")
        return VOID
    rng = random.Random(int(os.environ.get("SEED", "1")))
    servers = [Server(f"s-{i:02}", record, DANANG_ZONES[0]) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent("agent0", record)
    await agent.start()
    agent.load([server.entry() for server in servers])
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
    balancer = Balancer("n0", agent, danang_settings(0, 1), folder, limits=limits)
    delay = LoopDelay()
    try:
        balancer.start()
        if not await balancer.ready():
            record.say("the balancer was not ready")
            return VOID
        until = now() + 8 + WAVES * BETWEEN
        standing = Clients(balancer, record, 25.0, (60.0, 60.0), DANANG_FIELDS, rng)
        coming = asyncio.ensure_future(standing.run(now() + STANDING / 25.0))
        await coming
        watching = asyncio.ensure_future(delay.watch())
        requests = Requests(balancer, record, rng)
        arriving = asyncio.ensure_future(requests.run(until))
        await asyncio.sleep(2)
        for number in range(WAVES):
            if TROUBLE:
                record.add(f"wave {number + 1}: {SILENT} clients connect and say nothing")
                for _ in range(SILENT):
                    asyncio.ensure_future(stay_silent(balancer))
            await asyncio.sleep(BETWEEN)
        await arriving
        watching.cancel()
    finally:
        balancer.kill()
        record.add(f"it logged: {balancer.log()[-400:]!r}")
    up = sum(answer.startswith("UP ") for answer in standing.answers.values())
    record.say(
        f"{len(requests.lost)} of {len(requests.lost) + len(requests.took)} requests had neither "
        f"an answer nor an end {LATEST:.3f} s after they were sent; the slowest other one took "
        f"{max(requests.took, default=0):.3f} s; {up} clients stood; "
        f"the loop was late by {delay.worst:.3f} s at most"
    )
    if up < STANDING // 2 or len(requests.took) < 30 or delay.worst > MAX_LOOP_DELAY:
        record.say("void: too few flows, or the stand-ins were late")
        return VOID
    return BROKEN if requests.lost else HELD


if __name__ == "__main__":
    play_and_exit(play, Path(__file__).resolve().parent)
