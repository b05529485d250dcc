"""Discovery is out of reach for some seconds; servers begin to drain, which it tells at its return.

The list is pushed, so what the agent gets at the return counts as told at once. From the grace of
the site's settings on, and 50 ms, nothing may reach the servers that drain.
"""

import asyncio
import os
import random
from pathlib import Path

from deployment import CARDIFF_FIELDS, CARDIFF_ZONES, cardiff_settings
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
BALANCERS = 4
SERVERS = 18
RATE = 30.0  # clients a second at each balancer
STAY = (3.0, 7.0)
OUTAGES = 4
OUTAGE = 10_200 / 1000  # seconds
BETWEEN = 6.05
LEAVING = 4  # servers that begin to drain at each return
GRACE = 0.750 + 0.050  # rules.drainGrace, and the slack of time limits on sockets
MAX_LOOP_DELAY = 0.2  # is added to the bound


async def play(record: Record, folder: Path) -> int:
    """Play the case and return its exit code."""
    rng = random.Random(int(os.environ.get("SEED", "1")))
    servers = [Server(f"s-{i:02}", record, CARDIFF_ZONES[i % 3]) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    agents = [Agent(f"agent{i}", record) for i in range(BALANCERS)]
    balancers = []
    for i, agent in enumerate(agents):
        await agent.start()
        agent.load([server.entry() for server in servers])
        settings = cardiff_settings(i, BALANCERS)
        balancers.append(Balancer(f"n{i}", agent, settings, folder))
    delay = LoopDelay()
    watching = asyncio.ensure_future(delay.watch())
    told: dict[str, float] = {}
    worst = 0.0  # the longest by which the loop was late after a return
    try:
        for balancer in balancers:
            balancer.start()
        if not all([await balancer.ready() for balancer in balancers]):
            record.say("a balancer was not ready")
            return VOID
        crowd = [Clients(b, record, RATE, STAY, CARDIFF_FIELDS, rng) for b in balancers]
        end = now() + 8.05 + OUTAGES * (OUTAGE + BETWEEN)
        arrivals = [asyncio.ensure_future(clients.run(end)) for clients in crowd]
        await asyncio.sleep(8.05)
        for number in range(OUTAGES):
            for agent in agents:
                await agent.set_silent(TROUBLE)
            record.add(f"discovery {'goes down' if TROUBLE else 'stays up'}")
            await asyncio.sleep(OUTAGE)
            leaving = [s.name for s in servers[number * LEAVING : (number + 1) * LEAVING]]
            record.add(f"discovery is up and tells that {' '.join(leaving)} drain")
            for agent in agents:
                await agent.change(leaving, lifecycle="terminating")
            told |= dict.fromkeys(leaving, now())
            for agent in agents:
                await agent.set_silent(False)
            delay.worst = 0.0
            await asyncio.sleep(BETWEEN)
            worst = max(worst, delay.worst)
        await asyncio.gather(*arrivals)
    finally:
        watching.cancel()
        for balancer in balancers:
            balancer.kill()
    return judge(record, servers, crowd, told, worst)


def judge(
    record: Record,
    servers: list[Server],
    crowd: list[Clients],
    told: dict[str, float],
    worst: float,
) -> int:
    """Return the exit code, and record every send that came too late."""
    sent_by = {ident: name for c in crowd for ident, name in c.balancer_of.items()}
    late = sorted(
        (at - told[server.name], server.name, sent_by[ident], ident)
        for server in servers
        if server.name in told
        for at, ident in server.opened
        if at > told[server.name] + GRACE + worst
    )
    for after, name, balancer, ident in late:
        record.add(f"LATE {balancer} sent {ident} to {name} {after:.3f} s after it was told")
    up = sum(a.startswith("UP ") for c in crowd for a in c.answers.values())
    record.say(
        f"{len(late)} sends over {GRACE + worst:.3f} s after the balancer was told, by "
        f"{len({b for _, _, b, _ in late})} balancers, the latest after "
        f"{max([entry[0] for entry in late], default=0):.3f} s; {up} flows established; "
        f"the loop was late by {worst:.3f} s at most"
    )
    if up < 500 or worst > MAX_LOOP_DELAY:
        record.say("void: too few flows, or the stand-ins were late")
        return VOID
    return BROKEN if late else HELD


if __name__ == "__main__":
    play_and_exit(play, Path(__file__).resolve().parent)
