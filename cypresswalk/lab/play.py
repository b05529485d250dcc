"""Plays a scenario: starts servers, balancers and clients, injects faults, and checks the rules."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path

from cypresswalk.lab.balancer_control import BalancerControl
from cypresswalk.lab.checker import COLD_SERVERS, check
from cypresswalk.lab.experiment import Experiment, Variant
from cypresswalk.lab.fault_injector import FaultInjector
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.lab.rules import Rules, Violation
from cypresswalk.lab.source_tree import source_tree
from cypresswalk.lab.testbed.bed import LATENESS_TOLERANCE, ScenarioTestBed
from cypresswalk.lab.testbed.client_driver import ClientDriver
from cypresswalk.lab.testbed.misbehaving_clients import misbehave
from cypresswalk.lab.testbed.resting_clients import RestingClients
from cypresswalk.lab.testbed.server_driver import ServerDriver
from cypresswalk.lab.units import MILLISECOND, SECOND

MAX_LATE_SHARE = 0.01  # of the lateness checks
MAX_LATENESS = 400 * MILLISECOND  # about a tenth of a connect timeout
HEAD_START = 100 * MILLISECOND  # between the balancers' readiness and the first clients
PROGRESS_INTERVAL_S = 0.25
COUNTERS_WAIT_S = 0.15  # for balancers to log their counters
REST_TIMEOUT_S = 6.0  # for balancers to release what their clients used, once all have left
REST_CHECK_INTERVAL_S = 0.1
MAX_SHOWN_VIOLATIONS = 50

ProgressCallback = Callable[[float], None]


class Scenario:
    """One scenario with one variant and seed."""

    def __init__(
        self,
        experiment: Experiment,
        variant: Variant,
        seed: int,
        folder: Path,
        source_folder: Path,
        command: list[str] | None = None,
        checks_leaks: bool = False,
    ):
        """Create all parts; nothing runs yet.

        See `BalancerControl` for the arguments. With `checks_leaks`, the balancers run for a while
        without clients at the end, and what they still hold is checked.
        """
        self.checks_leaks = checks_leaks
        self.client_tasks: list[asyncio.Task] = []
        self.event_count = 0  # at the end of the scenario
        self.experiment = experiment
        self.testbed = ScenarioTestBed(experiment, seed)
        self.result = ScenarioResult(experiment.name, variant.name, seed)
        self.servers = {
            name: ServerDriver(self.testbed, model) for name, model in self.testbed.servers.items()
        }
        self.clients = ClientDriver(self.testbed)
        self.control = BalancerControl(self.testbed, variant, folder, source_folder, command)
        self.faults = FaultInjector(self.testbed, self.servers, self.clients, self.control)

    async def run(self, on_progress: ProgressCallback) -> ScenarioResult:
        """Play the scenario and check the rules.

        Raises:
            CommandError: A balancer does not start.
        """
        testbed = self.testbed
        try:
            await self._start_servers()
            await self.control.start_all()
            testbed.spawn(testbed.watch_lateness())
            await self._play(on_progress)
            self.event_count = len(testbed.observations)
            if self.checks_leaks:
                await self._check_leaks()
        finally:
            # Ends all child processes and tasks, also after Ctrl-C or a failure of the lab.
            for balancer in self.control.balancers.values():
                balancer.kill()
            for proxy in testbed.proxies:
                await proxy.stop()
            for task in list(testbed.tasks):
                task.cancel()
            await asyncio.gather(*testbed.tasks, return_exceptions=True)
        self._check_rules()
        self._check_lateness()
        return self.result

    async def _start_servers(self) -> None:
        for driver in self.servers.values():
            await driver.listen()
            driver.model.backlog_at = self.testbed.now()
            if not driver.model.running:
                driver.close()
            self.testbed.spawn(driver.run_periodic_work())

    async def _play(self, on_progress: ProgressCallback) -> None:
        """Run the clients and inject the faults until the scenario's end."""
        testbed = self.testbed
        span = int(self.experiment.seconds * SECOND)
        began = testbed.now() + HEAD_START
        testbed.began = began
        self.result.began = began
        for client in testbed.population.all():
            self._spawn_client(self.clients.run(client, began))
        resting = RestingClients(testbed, self.clients)
        for name in testbed.balancers:
            self._spawn_client(resting.run(name, began))
        for number, (at, misbehaviour, zone) in enumerate(testbed.population.misbehaving()):
            work = misbehave(testbed, self.clients, misbehaviour, zone, number)
            self._spawn_client(self._run_at(began + at, work))
        for fault in self.experiment.faults:
            work = self.faults.inject(fault)
            testbed.spawn(self._run_at(began + int(fault.at_s * SECOND), work))
        testbed.spawn(self.control.watch())
        while (left := began + span - testbed.now()) > 0:
            on_progress((span - left) / SECOND)
            await asyncio.sleep(min(left / SECOND, PROGRESS_INTERVAL_S))
        testbed.observe("day_ended")
        self.result.ended = testbed.now()
        for balancer in self.control.balancers.values():
            balancer.send_signal(signal.SIGUSR1)
        await asyncio.sleep(COUNTERS_WAIT_S)

    def _spawn_client(self, work: Coroutine) -> None:
        self.client_tasks.append(self.testbed.spawn(work))

    async def _check_leaks(self) -> None:
        """End all clients, and wait until the balancers have released what these used."""
        for task in self.client_tasks:
            task.cancel()
        await asyncio.gather(*self.client_tasks, return_exceptions=True)
        until = self.testbed.now() + int(REST_TIMEOUT_S * SECOND)
        while (leaks := self.control.leaks()) and self.testbed.now() < until:
            await asyncio.sleep(REST_CHECK_INTERVAL_S)
        self.result.leaks = leaks

    async def _run_at(self, at: int, work: Coroutine) -> None:
        try:
            await self.testbed.sleep_until(at)
            await work
        finally:
            work.close()

    def _check_rules(self) -> None:
        result = self.result
        result.events = self.testbed.observations[: self.event_count]
        result.samples = self.control.samples
        violations = self.control.violations + check(
            result.events, Rules.from_experiment(self.experiment)
        )
        for observation in result.events:
            if observation.kind == "fell":
                message = f"{observation.subject} crashed: its load exceeded its budget while cold"
                violations.append(
                    Violation(COLD_SERVERS, "", observation.at, message, [observation])
                )
        result.breaches = [str(violation) for violation in violations[:MAX_SHOWN_VIOLATIONS]]
        for violation in violations:
            result.broken[violation.rule] = result.broken.get(violation.rule, 0) + 1
        balancers = self.control.balancers
        result.counters = {name: balancer.counters() for name, balancer in balancers.items()}

    def _check_lateness(self) -> None:
        """Mark the result as void if the lab failed or was late."""
        lateness = sorted(self.testbed.lateness) or [0]
        share = sum(late > LATENESS_TOLERANCE for late in lateness) / len(lateness)
        self.result.lateness_ms = {
            "median": lateness[len(lateness) // 2] / MILLISECOND,
            "p99": lateness[len(lateness) * 99 // 100] / MILLISECOND,
            "most": lateness[-1] / MILLISECOND,
            "share_late": round(share, 5),
        }
        if self.testbed.failures:
            self.result.void = f"the lab itself failed: {self.testbed.failures[0]}"
        elif share > MAX_LATE_SHARE or lateness[-1] > MAX_LATENESS:
            self.result.void = (
                f"the lab itself was late: {lateness[-1] / MILLISECOND:.0f} ms at most,"
                f" {share:.1%} of its ticks by over {LATENESS_TOLERANCE / MILLISECOND:.0f} ms"
            )


def ignore_progress(second: float) -> None:
    """Ignore the progress of a scenario."""


def play_scenario(
    experiment: Experiment,
    variant: Variant,
    seed: int,
    folder: Path,
    on_progress: ProgressCallback = ignore_progress,
    command: list[str] | None = None,
    checks_leaks: bool = False,
) -> ScenarioResult:
    """Play a scenario and write observations, result and logs to a folder.

    `command` runs another program instead of the balancers; it follows the same platform rules. See
    `Scenario` for `checks_leaks`.

    Raises:
        CommandError: The scenario can't begin.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with source_tree(variant) as source_folder:
        scenario = Scenario(experiment, variant, seed, folder, source_folder, command, checks_leaks)
        result = asyncio.run(scenario.run(on_progress))
    result.save(folder)
    return result
