"""What operators' commands and upgrades cost.

    python benchmarks/operated.py [upgrades|calls]     nothing where none is named

`upgrades`: twenty upgrades beside a running process under load. `calls`: the longest wait of a
command under crowds of clients. Results: docs/measurements/operated.md.
"""

import asyncio
import signal
import subprocess
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from harness import SingleBalancer, Summary, report, run_parts, running, table_row

NAME = "n0"  # of the one balancer
COMMAND_TIMEOUT = 5  # seconds
POLL_INTERVAL = 0.01  # seconds
SETTLING_SECONDS = 2  # after the load, until all clients have their answers

UPGRADES = 20
UPGRADE_RATE = 150  # flows a second
UPGRADE_PAUSE = 0.5  # seconds
# Answers of clients that no balancer heard.
UNHEARD = ("refused", "reset", "end", "none")

CROWDS = 20
CROWD = 300  # clients at once
CROWD_RATE = 50  # flows a second besides
CALLERS = 4
HANGING_CALLERS = 8  # connect and send nothing
CALLER_PAUSE = 0.02  # seconds between two commands of a caller
COMMANDS = ("check", "vars", "set-down s-0", "set-up s-0")


def single_plan(flows_per_s: int) -> dict[str, Any]:
    """The plan of one balancer before four servers."""
    return {"balancers": 1, "voters": 1, "servers": 4, "flows_per_s": flows_per_s}


async def send_command(address: tuple[str, int], command: str) -> tuple[str, float]:
    """The first line of the reply, or the error's name; and the seconds that it took."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(command.encode() + b"\r\n")
            reply = (await reader.readline()).decode().strip()
    except (OSError, TimeoutError) as error:
        reply = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return reply, time.monotonic() - began


async def wait_until_ready(address: tuple[str, int]) -> float:
    """Seconds until a balancer replies that all is well."""
    began = time.monotonic()
    while (await send_command(address, "check"))[0] != "OK":
        await asyncio.sleep(POLL_INTERVAL)
    return time.monotonic() - began


# Upgrades.


class Upgrades:
    """Upgrades of one balancer, one after another."""

    def __init__(self, cluster: SingleBalancer):
        """`cluster` runs."""
        self.cluster = cluster
        self.process: subprocess.Popen[Any] = cluster.process(NAME)
        self.ready_s: list[float] = []  # until the successor was ready
        self.gone_s: list[float] = []  # from SIGTERM until the predecessor had ended

    async def upgrade(self) -> None:
        """Starts a successor; once it is ready the predecessor is to end."""
        predecessor = self.process
        self.process, admin = self.cluster.start_second_process()
        self.ready_s.append(await wait_until_ready(admin))
        began = time.monotonic()
        predecessor.send_signal(signal.SIGTERM)
        while predecessor.poll() is None:
            await asyncio.sleep(POLL_INTERVAL)
        self.gone_s.append(time.monotonic() - began)


async def run_upgrades() -> None:
    """Prints clients' answers, and the seconds of each step."""
    async with running(SingleBalancer, single_plan(UPGRADE_RATE)) as cluster:
        await wait_until_ready(cluster.admin_address(NAME))
        cluster.start_load()
        upgrades = Upgrades(cluster)
        try:
            for _ in range(UPGRADES):
                await asyncio.sleep(UPGRADE_PAUSE)
                await upgrades.upgrade()
            cluster.stop_load()
            await asyncio.sleep(SETTLING_SECONDS)
            report_upgrades(cluster, upgrades)
        finally:
            upgrades.process.kill()


def report_upgrades(cluster: SingleBalancer, upgrades: Upgrades) -> None:
    """Prints the figures."""
    answers = Counter(request.answer for request in cluster.requests)
    late = sum(request.is_late for request in cluster.requests)
    unheard = sum(answers[answer] for answer in UNHEARD)
    ready, gone = Summary.of(upgrades.ready_s), Summary.of(upgrades.gone_s)
    report(
        f"{UPGRADES} upgrades under {UPGRADE_RATE} flows a second: answers {dict(answers)}, "
        f"{late} late; turned back unheard {unheard}; ready after {ready.median:.2f} s "
        f"({ready.least:.2f} to {ready.most:.2f}), the old one gone {gone.median:.2f} s after "
        f"SIGTERM (at most {gone.most:.2f})"
    )


# Commands under crowds.


@dataclass
class CommandLoad:
    """Callers that send one command after another.

    Attributes:
        waits: seconds of each, by command.
        unexpected: replies that are not as they should be, with their command.
        over: set when the callers are to end.
    """

    waits: dict[str, list[float]] = field(default_factory=lambda: {name: [] for name in COMMANDS})
    unexpected: Counter[str] = field(default_factory=Counter)
    over: asyncio.Event = field(default_factory=asyncio.Event)

    async def call_repeatedly(self, address: tuple[str, int]) -> None:
        """One caller. Set-down and set-up by several in turn: each is a yes, twice is once."""
        while not self.over.is_set():
            for command, waits in self.waits.items():
                reply, seconds = await send_command(address, command)
                waits.append(seconds)
                if reply != "OK" and not (command == "vars" and reply.startswith("{")):
                    self.unexpected[f"{command}: {reply[:40]}"] += 1
                await asyncio.sleep(CALLER_PAUSE)


async def run_calls() -> None:
    """Callers one after another while crowds connect at once, and other callers hang."""
    async with running(SingleBalancer, single_plan(CROWD_RATE)) as cluster:
        admin = cluster.admin_address(NAME)
        await wait_until_ready(admin)
        cluster.start_load()
        load = CommandLoad()
        callers = [cluster.run_in_background(load.call_repeatedly(admin)) for _ in range(CALLERS)]
        hanging = [await asyncio.open_connection(*admin) for _ in range(HANGING_CALLERS)]
        for crowd in range(CROWDS):
            clients = (cluster.request(f"c{crowd}-{number}", NAME) for number in range(CROWD))
            await asyncio.gather(*clients)
        load.over.set()
        await asyncio.gather(*callers)
        for _, writer in hanging:
            writer.close()
        cluster.stop_load()
        report_calls(cluster, load)


def report_calls(cluster: SingleBalancer, load: CommandLoad) -> None:
    """Prints by command: count, and milliseconds waited (median, 99th percentile, most)."""
    report(
        f"{CROWDS} crowds of {CROWD} at once, {CALLERS} callers, {HANGING_CALLERS} that hang; "
        f"not as they should be: {dict(load.unexpected)}"
    )
    for command, waits in load.waits.items():
        waited = Summary.of([seconds * 1e3 for seconds in waits])
        figures = f"{waited.median:.1f}", f"{waited.p99:.0f}", f"{waited.most:.0f}"
        report(table_row(f"`{command}`", waited.count, *figures))
    report(str(dict(Counter(request.answer for request in cluster.requests))))


PARTS = {
    "upgrades": lambda: asyncio.run(run_upgrades()),
    "calls": lambda: asyncio.run(run_calls()),
}

if __name__ == "__main__":
    run_parts(__doc__, PARTS, default=False)
