"""Simulation of a fleet: its balancers, its network and virtual time."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from cypresswalk.fleet.events import CallRequested, ConnectionRejected, FrameReceived
from cypresswalk.fleet.messages import (
    FRAME_DECODER,
    AnyFrame,
    DiscoveryRequest,
    DiscoveryResponse,
    Hello,
    HelloRejected,
)
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.fingerprint import fingerprint
from cypresswalk.lab.cluster.simulation.invariants import Invariants
from cypresswalk.lab.cluster.simulation.network import DEFAULT_DELAY, InFlight, Network
from cypresswalk.lab.cluster.simulation.process import NEVER, Process
from cypresswalk.lab.cluster.simulation.timers import Timers
from cypresswalk.lab.cluster.simulation.wake_ups import WakeUps
from cypresswalk.lab.units import SECOND
from cypresswalk.operator import FleetTable

Reply = Callable[[bool, Any], None]  # gets whether the call succeeded, and the answer's body

FIRST_PORT = 1000
MAX_HISTORY_LINES = 4000
DROPPED_HISTORY_LINES = 1000  # the oldest, dropped together
# A run with more steps counts as a livelock: events without progress of virtual time.
MAX_STEPS_PER_SECOND = 400  # per process
MAX_STEPS_AT_ONCE = 50_000


def ignore_reply(ok: bool, body: Any) -> None:
    """Ignore the answer to a call."""


class FleetSimulation:
    """A simulated fleet in virtual time. Times are nanoseconds.

    Attributes:
        seed: seed of all random draws.
        random: the simulation's own source of random draws.
        now: current virtual time.
        own_settings: settings that a balancer offers if the fleet has none.
        addresses: addresses of the balancers, by name.
        processes: the balancers' processes, by name.
        network: the links between them.
        invariants: the invariants, checked after every step.
        steps: number of steps: process runs, message arrivals and timers.
        situations: how often each situation occurred.
        history: the last noted events, a line each.
    """

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 0,
        max_contradiction_s: float = 5.0,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay: tuple[int, int] = DEFAULT_DELAY,
        zones: int = 0,
    ):
        """Create a fleet whose balancers are not started yet.

        Args:
            seed: seed of all random draws.
            voters: number of balancers that vote.
            followers: number of further balancers.
            max_contradiction_s: longest time for which two balancers may act on contradicting
                versions, seconds.
            loss: share of messages that are lost.
            duplication: share of messages that are sent twice.
            delay: bounds of a message's delay.
            zones: number of zones that the balancers are spread over; 0 for none.
        """
        self.seed = seed
        self.random = Random(f"{seed}/world")
        self.now = 0
        self.own_settings: dict[str, Any] = {"mark": 0}
        self.steps = 0
        self.situations: Counter[str] = Counter()
        self.history: list[str] = []
        names = [f"n{i}" for i in range(voters + followers)]
        self.addresses = {name: f"127.0.0.1:{FIRST_PORT + i}" for i, name in enumerate(names)}
        self._names_by_address = {address: name for name, address in self.addresses.items()}
        self.processes: dict[str, Process] = {}
        for i, name in enumerate(names):
            zone = f"z{i % zones}" if zones else ""
            table = self._fleet_table(name, names[:voters], zone, max_contradiction_s)
            self.processes[name] = Process(self, table)
        self.network = Network(self.random, self._names_by_address, loss, duplication, delay)
        self.invariants = Invariants(int(max_contradiction_s * SECOND))
        self._timers = Timers()
        self._wake_ups = WakeUps()

    def _fleet_table(
        self, name: str, first: list[str], zone: str, max_contradiction_s: float
    ) -> FleetTable:
        return FleetTable(
            fleet="f",
            name=name,
            address=self.addresses[name],
            folder="/none",
            first={first_name: self.addresses[first_name] for first_name in first},
            stated_s=max_contradiction_s,
            zone=zone,
        )

    # Observations.

    def count(self, situation: str) -> None:
        """Count an occurrence of a situation."""
        self.situations[situation] += 1

    def note(self, text: str) -> None:
        """Add a line to the history."""
        self.history.append(f"{self.now / SECOND:9.3f} {text}")
        if len(self.history) > MAX_HISTORY_LINES:
            del self.history[:DROPPED_HISTORY_LINES]

    def check(self) -> None:
        """Check the invariants; raise ViolationError if one is broken."""
        self.invariants.check(self.processes.values(), self.now)

    def fingerprint(self) -> bytes:
        """Return a digest of the fleet's state."""
        return fingerprint(self.processes.values(), self.network)

    # Balancers.

    def start(self) -> None:
        """Start all balancers."""
        for process in self.processes.values():
            process.start()

    def live(self) -> list[Process]:
        """Return the processes whose fleet member runs."""
        return [process for process in self.processes.values() if process.member is not None]

    def leader(self) -> Process | None:
        """Return the leader of the highest term, or None."""
        leaders = {}
        for process in self.live():
            node = process.live_member.node
            if process.live_member.is_leader and node is not None:
                leaders[process] = node.term
        return max(leaders, key=lambda process: leaders[process], default=None)

    def freeze(self, process: Process, duration: int) -> None:
        """Suspend a process for the given time, as if by SIGSTOP."""
        process.frozen_until = self.now + duration
        self.schedule(process)

    def call(
        self,
        process: Process,
        name: str,
        args: dict[str, Any],
        timeout: int,
        reply: Reply = ignore_reply,
    ) -> None:
        """Call the fleet at a balancer, as operators' tools do.

        Args:
            process: the called balancer.
            name: name of the call.
            args: arguments of the call.
            timeout: time within which it must be answered.
            reply: function that gets the answer.
        """
        if process.member is None:
            reply(False, {"why": "the balancer does not run"})
        else:
            process.process_events([CallRequested(name, args, reply, timeout / SECOND)])

    # Messages.

    def send(self, source: str, address: str, hello: Hello, frame: AnyFrame) -> None:
        """Send a frame to the process with that address."""
        self.network.send(self.now, source, address, hello, frame)

    def _deliver(self, message: InFlight) -> None:
        target = self.processes[message.target]
        if target.fleet is None or target.fleet.member is None:
            return
        hello = message.hello
        rejection = target.fleet.transport.rejection_of(hello)
        if rejection is not None:
            self.count(f"refused: {rejection.code}")
            self._report_rejection(target, hello, rejection)
            return
        frame = FRAME_DECODER.decode(message.data)
        is_discovery = isinstance(frame, DiscoveryRequest | DiscoveryResponse)
        if hello.group == target.fleet.group() or is_discovery:
            target.receive(FrameReceived(hello, frame))

    def _report_rejection(self, target: Process, hello: Hello, rejection: HelloRejected) -> None:
        """Report to the sender that its disk is an old copy, unless it has restarted since."""
        name = self._names_by_address.get(hello.address)
        if rejection.code != "put-back" or name is None:
            return
        sender = self.processes[name]
        if (
            sender.fleet is not None
            and sender.fleet.start_nonce == hello.start_nonce
            and not self.network.is_cut(name, target.name)
            and sender.fleet.hello("").id == hello.id
        ):
            sender.process_events([ConnectionRejected(target.live_member.id, rejection)])

    # Time.

    def schedule(self, process: Process) -> None:
        """Schedule the process for its due time."""
        self._wake_ups.schedule(process)

    def call_later(self, delay: int, function: Callable[[], None]) -> None:
        """Call a function after a delay, nanoseconds."""
        self._timers.add(self.now + delay, function)

    def run(self, duration: int, check: bool = True) -> None:
        """Run the fleet for the given virtual time.

        Args:
            duration: virtual time, nanoseconds.
            check: whether to check the invariants after every step.

        Raises:
            ViolationError: an invariant is broken, or the many steps indicate a livelock.
        """
        started_at = self.now
        end = started_at + duration
        first_step = self.steps
        while self._step(end):
            self.steps += 1
            if check:
                self.check()
            seconds = (self.now - started_at) / SECOND
            max_steps = MAX_STEPS_PER_SECOND * seconds * len(self.processes) + MAX_STEPS_AT_ONCE
            if self.steps - first_step > max_steps:
                raise ViolationError("livelock: events go on while virtual time hardly advances")
        self.now = end

    def _step(self, end: int) -> bool:
        """Process the next event; return False if it is due after `end`."""
        wake_up_at = self._wake_ups.next_due(self.now)
        arrival_at = _or_never(self.network.next_arrival())
        timer_at = _or_never(self._timers.next_due())
        first = min(timer_at, arrival_at, wake_up_at)
        if first > end or first == NEVER:
            return False
        self.now = max(self.now, first)
        if timer_at == first:
            self._timers.take_next()()
        elif arrival_at == first:
            self._deliver(self.network.take_next())
        else:
            self._wake_ups.take_next().wake_up()
        return True


def _or_never(at: int | None) -> int:
    return NEVER if at is None else at
