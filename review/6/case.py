"""A fleet of sixteen times the usual servers, with the traffic of the usual fleet.

Six in ten of the servers are replaced within 7 s, in the usual fleet (`TROUBLE=0`) as well. All are
sound and answer at once. The clients are owed their final answers in time.
"""

import asyncio
import os
import random
import resource
import time
from contextlib import suppress
from pathlib import Path

from sites import KINDS, SERVICE_TYPES, TENANTS, ZONES, mekong_settings
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

USUAL_SERVERS = 125
SERVERS = USUAL_SERVERS * (16 if trouble() else 1)
REPLACED = 0.6  # of them
REPLACE_TIME = 7.0  # seconds
STEPS = 14
RATE = 40.0  # requests a second
STAY = (1.0, 5.0)  # seconds for which a served client stays
QUIET = 8.0  # seconds before the replacement
AFTER = 20.0  # seconds after it
LATE = 0.5 + 0.05  # an answer may be late by this much, and the slack of time limits on sockets
MAX_LOOP_DELAY = 0.4  # is added to the bound
WAIT = 8.0  # after which a request counts as never answered


class Request:
    """A client's request: when it was sent, what came and when."""

    def __init__(self, ident: str, name: str, timeout: float):
        """Create a request that is not sent yet."""
        self.ident = ident
        self.name = name
        self.timeout = timeout
        self.answer: bytes | None = None  # empty for an end or a reset
        self.took = WAIT


class Clients:
    """The clients of one balancer."""

    def __init__(self, balancer: Balancer, record: Record, rng: random.Random):
        """Create clients that have not come yet."""
        self.balancer = balancer
        self.record = record
        self.rng = rng
        self.requests: list[Request] = []

    async def come(self) -> None:
        """Send a request, wait for its answer, and stay for a while if it is served."""
        shares = [share for _, share, *_ in SERVICE_TYPES]
        name, _, _, timeout, _ = self.rng.choices(SERVICE_TYPES, shares)[0]
        tenant = self.rng.choices(list(TENANTS), list(TENANTS.values()))[0]
        ident, key = (f"{self.rng.getrandbits(64):016x}" for _ in range(2))
        stay = self.rng.uniform(*STAY)
        line = f"OPEN {ident} {key} c={name},t={tenant},d={timeout:g},g={key}\r\n"
        try:
            reader, writer = await asyncio.open_connection(HOST, self.balancer.port)
        except OSError:
            self.record.add(f"{ident} was not accepted")
            return
        request = Request(ident, name, timeout / 1000)
        self.requests.append(request)
        writer.write(line.encode())
        sent_at = now()
        try:
            with suppress(TimeoutError):
                request.answer = await asyncio.wait_for(reader.readline(), WAIT)
                request.took = now() - sent_at
        except OSError:
            request.answer = b""
            request.took = now() - sent_at
        self.record.add(
            f"{ident} {name} gets {request.answer!r} after {1000 * request.took:.0f} ms "
            f"of {1000 * request.timeout:.0f} ms"
        )
        with suppress(OSError, TimeoutError):
            if request.answer is not None and request.answer.startswith(b"UP "):
                await self._stay(reader, writer, now() + stay)
        writer.close()

    async def _stay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, end: float
    ) -> None:
        while (left := end - now()) > 0:
            writer.write(b"line\r\n")
            if await asyncio.wait_for(reader.readline(), 8) != b"line\r\n":
                return
            await asyncio.sleep(min(2.0, left))


class LoopDelay:
    """The longest time by which the loop of the clients and the servers was late."""

    def __init__(self) -> None:
        """Start at none."""
        self.worst = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            began = now()
            await asyncio.sleep(0.01)
            self.worst = max(self.worst, now() - began - 0.01)


async def replace(record: Record, agent: Agent, old: list[Server], new: list[Server]) -> None:
    """Replace servers step by step: old ones begin to drain, new ones have just started."""
    began = now()
    for step in range(STEPS):
        first, last = (len(old) * number // STEPS for number in (step, step + 1))
        started = {"startedAtMs": int(time.time() * 1000)}
        agent.put(
            [server.entry() | {"lifecycle": "terminating"} for server in old[first:last]]
            + [server.entry() | started for server in new[first:last]]
        )
        record.add(f"{last} servers are replaced")
        await asyncio.sleep(max(began + (step + 1) * REPLACE_TIME / STEPS - now(), 0))


async def play(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    rng = random.Random(int(os.environ.get("SEED", "1")))
    replaced = int(SERVERS * REPLACED)
    servers = [
        Server(f"s-{rng.getrandbits(32):08x}", record, ZONES[i % len(ZONES)], KINDS[i % len(KINDS)])
        for i in range(SERVERS + replaced)
    ]
    for server in servers:
        await server.start()
    agent = Agent(record)
    await agent.start()
    agent.put([server.entry() for server in servers[:SERVERS]])
    config = {
        "discovery": agent.address,
        "known": agent.whole(),
        "settings": mekong_settings(0, 1),
    }
    balancer = Balancer("n0", folder, config)
    clients = Clients(balancer, record, rng)
    delay = LoopDelay()
    watching = asyncio.ensure_future(delay.watch())
    change = None
    try:
        balancer.start()
        if not await balancer.ready():
            record.say("void: the balancer was not ready")
            return VOID
        delay.worst = 0.0
        due = began = now()
        while due < began + QUIET + REPLACE_TIME + AFTER:
            due += rng.expovariate(RATE)
            await asyncio.sleep(max(due - now(), 0))
            visit = asyncio.ensure_future(clients.come())
            if change is None and now() > began + QUIET:
                change = asyncio.ensure_future(
                    replace(record, agent, servers[:replaced], servers[SERVERS:])
                )
        await asyncio.wait({visit}, timeout=WAIT)
        await asyncio.sleep(WAIT)
        if not balancer.running:
            record.say("the balancer has ended")
            return BROKEN
        return judge(record, clients.requests, delay.worst)
    finally:
        watching.cancel()
        balancer.kill()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def judge(record: Record, requests: list[Request], delay: float) -> int:
    """Return the exit code, and record every request whose answer came too late."""
    lost = [r for r in requests if r.took > r.timeout + LATE + delay]
    for request in lost:
        record.add(
            f"LOST {request.ident} {request.name} {request.answer!r} after {request.took:.3f} s"
        )
    served = sum((r.answer or b"").startswith(b"UP ") for r in requests)
    never = sum(r.answer is None for r in requests)
    record.say(
        f"{len(lost)} of {len(requests)} requests without an answer or an end in their time and "
        f"{LATE + delay:.3f} s, {never} of them without one in {WAIT:.0f} s; {served} served; the "
        f"slowest after {max(r.took for r in requests):.2f} s; the stand-ins were late by "
        f"{delay:.3f} s at most"
    )
    if delay > MAX_LOOP_DELAY or len(requests) < 500:
        record.say("void: the stand-ins were late, or there were too few requests")
        return VOID
    return BROKEN if lost else HELD


if __name__ == "__main__":
    play_and_exit(play, Path(__file__).resolve().parent)
