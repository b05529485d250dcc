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
from cypresswalk.lab.testbed.bed import Bed
from cypresswalk.lab.testbed.client_driver import ClientDriver
from cypresswalk.lab.testbed.misbehaving_clients import misbehave
from cypresswalk.lab.testbed.resting_clients import RestingClients
from cypresswalk.lab.testbed.server_driver import ServerDriver
from cypresswalk.lab.units import MILLISECOND, SECOND

# The slack that the rules allow beyond each limit. If the lab itself is later than that, a late
# event can't be attributed to the balancer.
LATE = 50 * MILLISECOND
MAX_LATE_SHARE = 0.01  # of the lateness checks
MAX_LATENESS = 400 * MILLISECOND  # about a tenth of a connect timeout
HEAD_START = 100 * MILLISECOND  # between the balancers' readiness and the first clients
PROGRESS_INTERVAL_S = 0.25
COUNTERS_WAIT_S = 0.15  # for balancers to log their counters
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
        files: Path,
        command: list[str] | None = None,
    ):
        """Create all parts; nothing runs yet. See `BalancerControl` for the arguments."""
        self.experiment = experiment
        self.bed = Bed(experiment, seed)
        self.result = ScenarioResult(experiment.name, variant.name, seed)
        self.servers = {
            name: ServerDriver(self.bed, model) for name, model in self.bed.servers.items()
        }
        self.clients = ClientDriver(self.bed)
        self.control = BalancerControl(self.bed, variant, folder, files, command)
        self.faults = FaultInjector(self.bed, self.servers, self.clients, self.control)

    async def run(self, on_progress: ProgressCallback) -> ScenarioResult:
        """Play the scenario and check the rules.

        Raises:
            CommandError: A balancer does not start.
        """
        bed = self.bed
        try:
            await self._start_servers()
            await self.control.start_all()
            bed.spawn(bed.watch_lateness())
            await self._play(on_progress)
        finally:
            # Ends all child processes and tasks, also after Ctrl-C or a failure of the lab.
            for balancer in self.control.balancers.values():
                balancer.kill()
            for proxy in bed.proxies:
                await proxy.stop()
            for task in list(bed.tasks):
                task.cancel()
            await asyncio.gather(*bed.tasks, return_exceptions=True)
        self._check_rules()
        self._check_lateness()
        return self.result

    async def _start_servers(self) -> None:
        for driver in self.servers.values():
            await driver.listen()
            driver.model.backlog_at = self.bed.now()
            if not driver.model.running:
                driver.close()
            self.bed.spawn(driver.work())

    async def _play(self, on_progress: ProgressCallback) -> None:
        """Run the clients and inject the faults until the scenario's end."""
        bed = self.bed
        span = int(self.experiment.seconds * SECOND)
        began = bed.now() + HEAD_START
        bed.began = began
        self.result.began = began
        for client in bed.clients.all():
            bed.spawn(self.clients.run(client, began))
        resting = RestingClients(bed, self.clients)
        for name in bed.balancers:
            bed.spawn(resting.run(name, began))
        for number, (at, misbehaviour, zone) in enumerate(bed.clients.misbehaving()):
            work = misbehave(bed, self.clients, misbehaviour, zone, number)
            bed.spawn(self._run_at(began + at, work))
        for fault in self.experiment.faults:
            work = self.faults.inject(fault)
            bed.spawn(self._run_at(began + int(fault.at_s * SECOND), work))
        bed.spawn(self.control.watch())
        while (left := began + span - bed.now()) > 0:
            on_progress((span - left) / SECOND)
            await asyncio.sleep(min(left / SECOND, PROGRESS_INTERVAL_S))
        bed.observe("day_ended")
        self.result.ended = bed.now()
        for balancer in self.control.balancers.values():
            balancer.send(signal.SIGUSR1)
        await asyncio.sleep(COUNTERS_WAIT_S)

    async def _run_at(self, at: int, work: Coroutine) -> None:
        try:
            await self.bed.sleep_until(at)
            await work
        finally:
            work.close()

    def _check_rules(self) -> None:
        result = self.result
        result.events = self.bed.observations
        result.samples = self.control.samples
        violations = self.control.crashes + check(result.events, Rules.of(self.experiment))
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
        lateness = sorted(self.bed.lateness) or [0]
        share = sum(late > LATE for late in lateness) / len(lateness)
        self.result.lateness_ms = {
            "median": lateness[len(lateness) // 2] / MILLISECOND,
            "p99": lateness[len(lateness) * 99 // 100] / MILLISECOND,
            "most": lateness[-1] / MILLISECOND,
            "share_late": round(share, 5),
        }
        if self.bed.failures:
            self.result.void = f"the lab itself failed: {self.bed.failures[0]}"
        elif share > MAX_LATE_SHARE or lateness[-1] > MAX_LATENESS:
            self.result.void = (
                f"the lab itself was late: {lateness[-1] / MILLISECOND:.0f} ms at most,"
                f" {share:.1%} of its ticks by over {LATE / MILLISECOND:.0f} ms"
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
) -> ScenarioResult:
    """Play a scenario and write observations, result and logs to a folder.

    `command` runs another program instead of the balancers; it follows the same platform rules.

    Raises:
        CommandError: The scenario can't begin.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with source_tree(variant) as files:
        scenario = Scenario(experiment, variant, seed, folder, files, command)
        result = asyncio.run(scenario.run(on_progress))
    result.save(folder)
    return result
