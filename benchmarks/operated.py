"""Measures the cost of operators' commands and upgrades.

    python benchmarks/operated.py [upgrades|calls]     none by default

`upgrades`: twenty upgrades under load, each with the new process beside the old one. `calls`:
latency of commands while bursts of clients connect. Results: docs/measurements/operated.md.
"""

import asyncio
import signal
import subprocess
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from harness import SingleBalancer, Summary, report, run_parts, running, table_row

NAME = "n0"  # name of the only balancer
COMMAND_TIMEOUT = 5  # seconds
POLL_INTERVAL = 0.01  # seconds
SETTLING_SECONDS = 2  # after the load has stopped, until all clients have their answers

UPGRADES = 20
UPGRADE_RATE = 150  # flows a second
UPGRADE_PAUSE = 0.5  # seconds before each upgrade
# Outcomes of clients that got no reply from a balancer.
NO_REPLY = ("refused", "reset", "end", "none")

BURSTS = 20
BURST_SIZE = 300  # clients that connect at once
BACKGROUND_RATE = 50  # flows a second besides the bursts
CALLERS = 4
HANGING_CALLERS = 8  # callers that connect and send nothing
CALLER_PAUSE = 0.02  # seconds between two commands of a caller
COMMANDS = ("check", "vars", "set-down s-0", "set-up s-0")


def single_plan(flows_per_s: int) -> dict[str, Any]:
    """Return the plan of a cluster with one balancer and four servers."""
    return {"balancers": 1, "voters": 1, "servers": 4, "flows_per_s": flows_per_s}


async def send_command(address: tuple[str, int], command: str) -> tuple[str, float]:
    """Send a command; return the reply's first line, or the error's name, and the seconds taken."""
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
    """Wait until a balancer replies OK to `check`; return the seconds waited."""
    began = time.monotonic()
    while (await send_command(address, "check"))[0] != "OK":
        await asyncio.sleep(POLL_INTERVAL)
    return time.monotonic() - began


# Upgrades.


class Upgrades:
    """Successive upgrades of one balancer."""

    def __init__(self, cluster: SingleBalancer):
        """Create the series; `cluster` must be running."""
        self.cluster = cluster
        self.process: subprocess.Popen[Any] = cluster.process(NAME)
        self.ready_s: list[float] = []  # seconds until the successor was ready
        self.shutdown_s: list[float] = []  # seconds from SIGTERM to the end of the predecessor

    async def upgrade(self) -> None:
        """Start a successor; once it is ready, terminate the predecessor and wait for its end."""
        predecessor = self.process
        self.process, admin = self.cluster.start_second_process()
        self.ready_s.append(await wait_until_ready(admin))
        began = time.monotonic()
        predecessor.send_signal(signal.SIGTERM)
        while predecessor.poll() is None:
            await asyncio.sleep(POLL_INTERVAL)
        self.shutdown_s.append(time.monotonic() - began)


async def run_upgrades() -> None:
    """Run the upgrades and print the figures."""
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
    """Print clients' answers, and the time of each step."""
    answers = Counter(request.answer for request in cluster.requests)
    late = sum(request.is_late for request in cluster.requests)
    without_reply = sum(answers[answer] for answer in NO_REPLY)
    ready, shutdown = Summary.of(upgrades.ready_s), Summary.of(upgrades.shutdown_s)
    report(
        f"{UPGRADES} upgrades under {UPGRADE_RATE} flows a second: answers {dict(answers)}, "
        f"{late} late; {without_reply} without a reply; ready after {ready.median:.2f} s "
        f"({ready.minimum:.2f} to {ready.maximum:.2f}), old process ended "
        f"{shutdown.median:.2f} s after SIGTERM (at most {shutdown.maximum:.2f})"
    )


# Commands during bursts of clients.


@dataclass
class CommandLoad:
    """A load of callers that send one command after another.

    Attributes:
        waits: durations of the calls in seconds, by command.
        unexpected: numbers of unexpected replies, by command and reply.
        stop_requested: event that makes the callers end.
    """

    waits: dict[str, list[float]] = field(default_factory=lambda: {name: [] for name in COMMANDS})
    unexpected: Counter[str] = field(default_factory=Counter)
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)

    async def call_repeatedly(self, address: tuple[str, int]) -> None:
        """Send commands as one caller. Set-down and set-up are idempotent, so each must succeed."""
        while not self.stop_requested.is_set():
            for command, waits in self.waits.items():
                reply, seconds = await send_command(address, command)
                waits.append(seconds)
                if reply != "OK" and not (command == "vars" and reply.startswith("{")):
                    self.unexpected[f"{command}: {reply[:40]}"] += 1
                await asyncio.sleep(CALLER_PAUSE)


async def run_calls() -> None:
    """Run callers while bursts of clients connect and other callers hang; print the figures."""
    async with running(SingleBalancer, single_plan(BACKGROUND_RATE)) as cluster:
        admin = cluster.admin_address(NAME)
        await wait_until_ready(admin)
        cluster.start_load()
        load = CommandLoad()
        callers = [cluster.run_in_background(load.call_repeatedly(admin)) for _ in range(CALLERS)]
        hanging = [await asyncio.open_connection(*admin) for _ in range(HANGING_CALLERS)]
        for burst in range(BURSTS):
            clients = (cluster.request(f"c{burst}-{number}", NAME) for number in range(BURST_SIZE))
            await asyncio.gather(*clients)
        load.stop_requested.set()
        await asyncio.gather(*callers)
        for _, writer in hanging:
            writer.close()
        cluster.stop_load()
        report_calls(cluster, load)


def report_calls(cluster: SingleBalancer, load: CommandLoad) -> None:
    """Print for each command: count; median, 99th percentile and maximum time in milliseconds."""
    report(
        f"{BURSTS} bursts of {BURST_SIZE} clients, {CALLERS} callers, {HANGING_CALLERS} that hang; "
        f"unexpected replies: {dict(load.unexpected)}"
    )
    for command, waits in load.waits.items():
        waited = Summary.of([seconds * 1e3 for seconds in waits])
        figures = f"{waited.median:.1f}", f"{waited.p99:.0f}", f"{waited.maximum:.0f}"
        report(table_row(f"`{command}`", waited.count, *figures))
    report(str(dict(Counter(request.answer for request in cluster.requests))))


PARTS = {
    "upgrades": lambda: asyncio.run(run_upgrades()),
    "calls": lambda: asyncio.run(run_calls()),
}

if __name__ == "__main__":
    run_parts(__doc__, PARTS, default=False)
