"""Injects the scheduled faults of an experiment into a scenario."""

import asyncio

from cypresswalk.lab.balancer_control import BalancerControl
from cypresswalk.lab.experiment import SERVER_FAULTS, ScheduledFault
from cypresswalk.lab.servers import ServerState, added_servers, matching_servers
from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.client_driver import ClientDriver
from cypresswalk.lab.testbed.list_driver import publish
from cypresswalk.lab.testbed.server_driver import ServerDriver
from cypresswalk.lab.units import MILLISECOND, SECOND

RELEASE_DRAIN_S = 1.0  # drain time of each server of a release
RELEASE_PAUSE_S = 0.5  # between two servers of a release
MIGRATE_AFTER_S = 0.5  # from the beginning of a drain
NEIGHBOUR_PHASE_S = (0.5, 2)  # each active or idle phase of another program on the machine


class FaultInjector:
    """An injector of each kind of fault into servers, balancers, clients and the endpoint list."""

    def __init__(
        self,
        testbed: ScenarioTestBed,
        servers: dict[str, ServerDriver],
        clients: ClientDriver,
        control: BalancerControl,
    ):
        """Keep the targets of the faults."""
        self.testbed = testbed
        self.servers = servers
        self.clients = clients
        self.control = control
        self.server_faults = {
            "crash": self._crash,
            "restart": self._crash,
            "vanish": self._vanish,
            "hang": self._hang,
            "slow": self._slow,
            "neighbour": self._neighbour,
            "errors": self._errors,
            "resets": self._resets,
            "drain": self._drain,
        }

    async def inject(self, fault: ScheduledFault) -> None:
        """Inject one fault, from its beginning to its end."""
        self.testbed.observe(
            "trouble", "", fault.kind, servers=fault.servers, balancers=fault.balancers
        )
        span_s = fault.for_s or self.testbed.experiment.seconds
        if fault.kind in SERVER_FAULTS:
            work = self.server_faults[fault.kind]
            drivers = self._matching_servers(fault.servers)
            await asyncio.gather(*(work(driver, fault.amount, span_s) for driver in drivers))
        elif fault.kind == "release":
            await self._release(fault)
        elif fault.kind == "grow":
            for name in added_servers(self.testbed.experiment, fault):
                await self._return_to_service(self.servers[name])
        elif fault.kind == "list_outage":
            await self._list_outage(span_s)
        elif fault.kind == "list_stall":
            for agent in self.control.agents.values():
                agent.stall_watches()
        elif fault.kind == "cut_clients":
            self.clients.cut_connections(fault.amount)
        else:
            await self._inject_into_balancers(fault, span_s)

    async def _inject_into_balancers(self, fault: ScheduledFault, span_s: float) -> None:
        names = self.control.matching_balancers(fault.balancers)
        if fault.kind == "balancer_kill":
            await asyncio.gather(*(self.control.kill(name, span_s) for name in names))
        elif fault.kind == "balancer_stop":
            await asyncio.gather(*(self.control.stop(name, span_s) for name in names))
        elif fault.kind == "reload":
            await asyncio.gather(*(self.control.reload(name) for name in names))
        elif fault.kind == "signals":
            await asyncio.gather(*(self.control.signal(name, fault.signals) for name in names))

    def _matching_servers(self, names: list[str]) -> list[ServerDriver]:
        return [self.servers[name] for name in matching_servers(self.testbed.experiment, names)]

    def _publish(self, server: str, state: ServerState, started_ms: int = 0) -> None:
        publish(self.testbed, self.control.agents.values(), server, state, started_ms)

    async def _return_to_service(self, driver: ServerDriver) -> None:
        started_ms = await driver.start()
        self._publish(driver.model.name, ServerState.IN_SERVICE, started_ms)

    # Faults of servers. Each function takes the driver, the amount and the duration in seconds.

    async def _crash(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        """Stop the server and reset its connections; start it cold after the span.

        List agents receive both changes of the list after a delay.
        """
        driver.crash()
        self._publish(driver.model.name, ServerState.TERMINATED)
        await asyncio.sleep(span_s)
        await self._return_to_service(driver)

    async def _vanish(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        """Stop answering, and return cold after the span.

        The kernel still accepts connections, so that this does not simulate connections that are
        never accepted.
        """
        self.testbed.observe("server_mute", "", driver.model.name)
        driver.model.silent = True
        self._publish(driver.model.name, ServerState.TERMINATED)
        await asyncio.sleep(span_s)
        driver.crash()
        await self._return_to_service(driver)

    async def _hang(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        self.testbed.observe("server_mute", "", driver.model.name)
        driver.model.hanging = True
        await asyncio.sleep(span_s)
        driver.model.hanging = False

    async def _slow(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        driver.model.update_backlog(self.testbed.now())
        driver.model.slowness = max(amount, 1.0)
        await asyncio.sleep(span_s)
        driver.model.update_backlog(self.testbed.now())
        driver.model.slowness = 1.0

    async def _neighbour(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        """Let another program take a share of the server's machine, in alternating phases."""
        until = self.testbed.now() + int(span_s * SECOND)
        while self.testbed.now() < until:
            for share in (amount, 0.0):
                driver.model.update_backlog(self.testbed.now())
                driver.model.stolen_share = share
                await asyncio.sleep(self.control.random.uniform(*NEIGHBOUR_PHASE_S))
        driver.model.stolen_share = 0.0

    async def _errors(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        driver.model.error_share = amount
        await asyncio.sleep(span_s)
        driver.model.error_share = 0.0

    async def _resets(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        driver.model.reset_share = amount
        await asyncio.sleep(span_s)
        driver.model.reset_share = 0.0

    async def _drain(self, driver: ServerDriver, amount: float, span_s: float) -> None:
        """Drain: reject new flows, migrate the established ones, and terminate after the span."""
        model = driver.model
        model.state = ServerState.DRAINING
        self._publish(model.name, ServerState.DRAINING, model.started // MILLISECOND)
        await asyncio.sleep(min(span_s, MIGRATE_AFTER_S))
        for connection in list(driver.connections.values()):
            driver.end(connection, "move")
        await asyncio.sleep(max(span_s - MIGRATE_AFTER_S, 0))
        self._publish(model.name, ServerState.TERMINATED, model.started // MILLISECOND)
        driver.crash()

    # Other faults.

    async def _release(self, fault: ScheduledFault) -> None:
        """Drain and restart the servers one after the other."""
        for driver in self._matching_servers(fault.servers):
            await self._drain(driver, 0.0, RELEASE_DRAIN_S)
            await self._return_to_service(driver)
            await asyncio.sleep(RELEASE_PAUSE_S)

    async def _list_outage(self, span_s: float) -> None:
        """Make all list agents stop answering for a while."""
        agents = list(self.control.agents.values())
        for agent in agents:
            agent.agent.silent = True
        await asyncio.sleep(span_s)
        for agent in agents:
            agent.agent.silent = False
            agent.notify_watches()
