"""Starts, watches and stops the real balancers of a scenario, with their list agents."""

import asyncio
import signal
from pathlib import Path
from random import Random

from cypresswalk.lab.balancers import BalancerProcess, UsageAtRest, encode_initial_list
from cypresswalk.lab.endpoint_list import ListAgent
from cypresswalk.lab.experiment import SignalName, Variant
from cypresswalk.lab.rules import Violation
from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.gossip_relay import GossipRelay
from cypresswalk.lab.testbed.list_driver import ListAgentDriver
from cypresswalk.lab.testbed.streams import LOOPBACK
from cypresswalk.lab.units import SECOND
from cypresswalk.refusal import CommandError

READY_TIMEOUT = 30 * SECOND  # for balancers to answer PING; else the scenario can't be played
READY_CHECK_INTERVAL_S = 0.05
PING_TIMEOUT_S = 1
SAMPLE_INTERVAL_S = 0.5  # between two samples of the balancers' resource usage
# A planned stop: the edge load balancer notices it within PLANNED_NOTICE_S after SIGTERM. SIGKILL
# follows KILL_AFTER_TIMEOUT_S after the longest client timeout, of which at most
# MAX_TIMEOUT_AWAITED_S is awaited.
PLANNED_NOTICE_S = (0.2, 0.4)
MAX_TIMEOUT_AWAITED_S = 3
KILL_AFTER_TIMEOUT_S = 0.7
EXIT_CHECK_INTERVAL_S = 0.02
MAX_PLANNED_DOWN_S = 1.0
MAX_SIGNAL_PAUSE_S = 0.05
# Descriptors and threads of a balancer without clients, beyond those before its first client and
# one of each for the health checks of each server: a second watch, and calls that are ending.
MAX_MORE_AT_REST = 6
SIGNALS: dict[SignalName, signal.Signals] = {
    "HUP": signal.SIGHUP,
    "TERM": signal.SIGTERM,
    "USR1": signal.SIGUSR1,
}

# Names of rules beside those of the checker.
CRASH = "crash"
NOT_READY = "not ready"

Sample = tuple[float, str, int, int, float]


class BalancerControl:
    """The control of all balancer processes of a scenario.

    Attributes:
        balancers: The processes by balancer name.
        agents: The current list agent by balancer name.
        random: The source of random numbers, also used by the fault injector.
        violations: One violation for each unexpected exit of a balancer, and for each start after
            which it did not answer.
        samples: The balancers' resource usage; see `ScenarioResult.samples`.
    """

    def __init__(
        self,
        testbed: ScenarioTestBed,
        variant: Variant,
        folder: Path,
        source_folder: Path,
        command: list[str] | None,
    ):
        """Prepare the control; no balancer runs yet.

        Args:
            testbed: The testbed.
            variant: The variant that runs as the balancer.
            folder: The folder for configuration files and logs.
            source_folder: The folder of the program's source.
            command: The command to run instead of the program; None runs the program.
        """
        self.testbed = testbed
        self.variant = variant
        self.folder = folder
        self.source_folder = source_folder
        self.command = command
        self.balancers: dict[str, BalancerProcess] = {}
        self.agents: dict[str, ListAgentDriver] = {}
        self.random = Random(f"{testbed.seed}/troubles")
        self.balancer_seeds = Random(f"{testbed.seed}/balancers")
        self.violations: list[Violation] = []
        self.samples: list[Sample] = []
        self.first_usage: dict[str, UsageAtRest] = {}  # by balancer, before the first client

    async def start_all(self) -> None:
        """Start all balancers and wait until they serve.

        Raises:
            CommandError: A balancer does not become ready.
        """
        testbed = self.testbed
        transport, relay = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: GossipRelay(testbed), local_addr=(LOOPBACK, 0)
        )
        groups = testbed.experiment.balancer_groups()
        client_faults = testbed.experiment.connection_faults.clients
        for number, (name, group) in enumerate(zip(testbed.balancers, groups, strict=True)):
            balancer = BalancerProcess(
                name,
                number,
                group,
                testbed.experiment,
                self.variant,
                self.source_folder,
                self.folder,
                transport.get_extra_info("sockname")[:2],
                self.command,
            )
            self.balancers[name] = balancer
            relay.members.append(balancer.gossip_address)
            address = await testbed.with_fault_proxy(balancer.address, client_faults, "client")
            testbed.balancer_addresses[name] = address
            await self._new_agent(name, len(testbed.endpoint_list.changes))
            self.start(name)
        await asyncio.gather(*(self.wait_until_ready(name) for name in self.balancers))
        for name, balancer in self.balancers.items():
            if (usage := balancer.usage_at_rest()) is not None:
                self.first_usage[name] = usage

    def leaks(self) -> list[str]:
        """Return a line for each running balancer that holds too much for one without clients."""
        more = len(self.testbed.servers) + MAX_MORE_AT_REST
        found = []
        for name, first in self.first_usage.items():
            usage = self.balancers[name].usage_at_rest()
            if usage is not None and (
                usage.descriptors > first.descriptors + more
                or usage.threads > first.threads + more
                or usage.children > first.children
            ):
                found.append(f"{name} holds {usage} without clients, {first} before the first one")
        return found

    def matching_balancers(self, names: list[str]) -> list[str]:
        """Return the balancers that are selected by balancer names, zone names or `all`."""
        return [
            balancer
            for balancer in self.balancers
            if any(
                name in (balancer, self.testbed.balancer_zone[balancer], "all") for name in names
            )
        ]

    def start(self, name: str) -> None:
        """Start a balancer with its agent's current endpoint list."""
        agent = self.agents[name].agent
        endpoints = agent.endpoint_list.complete(agent.version)
        # The checker counts the initial list as a notification, like the agent's later updates.
        for endpoint in endpoints:
            self.testbed.observe(
                "told",
                "",
                name,
                server=endpoint.server,
                life=endpoint.state.value,
                version=agent.version,
            )
        self._write_configuration(name)
        self.balancers[name].start()

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a balancer answers PING, then mark it up at its edge load balancer.

        A balancer that runs and does not answer is a violation once the scenario has begun.

        Raises:
            CommandError: The balancer does not answer, and the scenario has not begun yet.
        """
        testbed = self.testbed
        start_count = self.balancers[name].start_count
        until = testbed.now() + READY_TIMEOUT
        while testbed.now() < until and self.balancers[name].crash_exit_code() is None:
            if await answers_ping(self.balancers[name]):
                testbed.observe("balancer_up", "", name)
                testbed.edges[testbed.balancer_zone[name]].mark_up(name)
                return
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        if not testbed.began:
            log = self.balancers[name].log_file.read_text(errors="replace").strip().splitlines()
            last = log[-1] if log else "nothing logged"
            raise CommandError(f"balancer {name} does not serve ({self.variant.name}): {last}")
        # A crash is a violation of its own; after a further start another call waits.
        balancer = self.balancers[name]
        hangs = balancer.is_running() and not balancer.expected_end
        if hangs and balancer.start_count == start_count:
            timeout_s = READY_TIMEOUT // SECOND
            message = f"{name} did not answer PING within {timeout_s} s of its start"
            self.violations.append(Violation(NOT_READY, "", testbed.now(), message, []))

    async def watch(self) -> None:
        """Sample the balancers' resource usage and restart crashed ones, until cancelled."""
        while True:
            second = (self.testbed.now() - self.testbed.began) / SECOND
            for name, balancer in self.balancers.items():
                if (usage := balancer.resource_usage()) is not None:
                    self.samples.append((round(second, 2), name, *usage))
                code = balancer.crash_exit_code()
                if code is not None:
                    self._on_crash(name, code)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _on_crash(self, name: str, code: int) -> None:
        observation = self.testbed.observe("balancer_down", "", name, code=code)
        message = f"{name} ended with exit code {code}"
        self.violations.append(Violation(CRASH, "", observation.at, message, [observation]))
        self.balancers[name].expected_end = True
        self.testbed.spawn(self._mark_down_after_delay(name))
        self.start(name)
        self.testbed.spawn(self.wait_until_ready(name))

    async def _mark_down_after_delay(self, name: str) -> None:
        """Mark a dead balancer down after the detection delay, unless it was restarted by then."""
        start_count = self.balancers[name].start_count
        detection_ms = self.testbed.experiment.edge.detection_ms
        await asyncio.sleep(self.random.uniform(*detection_ms) / 1000)
        if self.balancers[name].start_count == start_count:
            self.testbed.edges[self.testbed.balancer_zone[name]].mark_down(name)

    # Faults.

    async def kill(self, name: str, span_s: float) -> None:
        """Kill a balancer and start it again after `span_s` seconds."""
        self.balancers[name].kill()
        self.testbed.observe("balancer_down", "", name)
        self.testbed.spawn(self._mark_down_after_delay(name))
        await asyncio.sleep(span_s)
        self.start(name)
        await self.wait_until_ready(name)

    async def stop(self, name: str, span_s: float) -> None:
        """Restart a balancer by a planned stop.

        The edge load balancer stops sending clients soon after SIGTERM; SIGKILL follows with the
        platform's timing.
        """
        testbed = self.testbed
        balancer = self.balancers[name]
        balancer.expected_end = True
        balancer.send_signal(signal.SIGTERM)
        await asyncio.sleep(self.random.uniform(*PLANNED_NOTICE_S))
        testbed.edges[testbed.balancer_zone[name]].mark_down(name)
        longest_s = max(t.timeout_ms for t in testbed.experiment.types) / 1000
        grace_s = min(longest_s, MAX_TIMEOUT_AWAITED_S) + KILL_AFTER_TIMEOUT_S
        until = testbed.now() + int(grace_s * SECOND)
        while testbed.now() < until and balancer.is_running():
            await asyncio.sleep(EXIT_CHECK_INTERVAL_S)
        balancer.kill()
        testbed.observe("balancer_down", "", name, planned=True)
        await asyncio.sleep(min(span_s, MAX_PLANNED_DOWN_S))
        self.start(name)
        await self.wait_until_ready(name)

    async def signal(self, name: str, names: list[SignalName]) -> None:
        """Send signals to a balancer at short intervals, while its listening socket exists."""
        for signal_name in names:
            if await listens(self.balancers[name]):
                self._send_signal(name, signal_name)
            await asyncio.sleep(self.random.uniform(0, MAX_SIGNAL_PAUSE_S))

    async def reload(self, name: str) -> None:
        """Move a balancer to a list agent at a new address with an older version; send SIGHUP."""
        old = self.agents[name]
        await self._new_agent(name, max(old.agent.version - 1, 1))
        self.testbed.spawn(self.agents[name].receive_later(len(self.testbed.endpoint_list.changes)))
        self._write_configuration(name)
        # A balancer that does not listen yet reads the new file when it starts.
        if await listens(self.balancers[name]):
            self._send_signal(name, "HUP")
        await old.retire()

    def _send_signal(self, name: str, signal_name: SignalName) -> None:
        self.testbed.observe("signal", "", name, sent=signal_name)
        self.balancers[name].send_signal(SIGNALS[signal_name])

    async def _new_agent(self, name: str, version: int) -> None:
        testbed = self.testbed
        random = Random(f"{testbed.seed}/agent/{name}/{version}")
        driver = ListAgentDriver(
            testbed, name, ListAgent(testbed.endpoint_list, testbed.experiment, random, version)
        )
        await driver.listen()
        self.agents[name] = driver

    def _write_configuration(self, name: str) -> None:
        driver = self.agents[name]
        agent = driver.agent
        endpoints = agent.endpoint_list.complete(agent.version)
        entries = [self.testbed.encode_endpoint(endpoint, name) for endpoint in endpoints]
        seed = self.balancer_seeds.getrandbits(64)
        self.balancers[name].write_configuration(
            driver.address, encode_initial_list(agent, entries), seed
        )


async def listens(balancer: BalancerProcess) -> bool:
    """Return whether a balancer listens; it handles signals from then on."""
    try:
        _, writer = await asyncio.open_connection(*balancer.address)
    except OSError:
        return False
    writer.close()
    return True


async def answers_ping(balancer: BalancerProcess) -> bool:
    """Return whether a balancer answers PING now."""
    try:
        reader, writer = await asyncio.open_connection(*balancer.address)
        writer.write(b"PING\r\n")
        line = await asyncio.wait_for(reader.readline(), PING_TIMEOUT_S)
        writer.close()
    except OSError:  # includes TimeoutError
        return False
    return line == b"PONG\r\n"
