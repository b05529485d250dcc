"""Clients, which open flows at random balancers."""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from cypresswalk.lab.cluster.checkers.answers import ClientFlow
from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.balancer_host import BalancerHost
from cypresswalk.lab.cluster.testbed.flow_types import BOOK, EFFECTS, TIMEOUT_MS, VIEW
from cypresswalk.lab.cluster.testbed.recording import FLOW_ANSWERED, Recording
from cypresswalk.lab.cluster.testbed.tasks import BackgroundTasks
from cypresswalk.lab.units import MILLISECOND

BOOK_INTERVAL = 5  # every fifth flow is a booking
REPEAT_DELAYS_S = (0, 0, 0.05, 0.5, 2, 5)
LATE_ANSWER_S = 1.0  # time for which a client waits beyond its deadline
ANSWER_KINDS = {"UP": "up", "BUSY": "busy"}  # any other answer is a failure


@dataclass(slots=True)
class _Outcome:
    """The outcome of a flow.

    Attributes:
        answer: first word of the answer, or what happened instead.
        answered_at: nanoseconds of the monotonic clock; 0 while there is no answer.
    """

    answer: str = "none"
    answered_at: int = 0


class Clients:
    """All clients of a cluster.

    Attributes:
        flows: flows that have ended.
        repeated: ids that were sent twice; the lab's checker can't check them, since it expects
            one answer for each flow.
    """

    def __init__(
        self,
        plan: Plan,
        balancers: Mapping[str, BalancerHost],
        recording: Recording,
        tasks: BackgroundTasks,
        rng: Random,
        max_flow_duration_s: float = 0.0,
    ):
        """Store the parameters; `start` begins the load.

        Args:
            plan: plan of the cluster, with the rate of flows and the probability of a repeat.
            balancers: hosts of the balancers that clients connect to.
            recording: recording of what clients send and receive.
            tasks: runner of each flow.
            rng: source of the random times, balancers and repeats.
            max_flow_duration_s: longest time in seconds for which a client keeps an established
                flow open; each client chooses a random time up to it.
        """
        self.flows: list[ClientFlow] = []
        self.repeated: set[str] = set()
        self._plan = plan
        self._balancers = balancers
        self._recording = recording
        self._tasks = tasks
        self._rng = rng
        self._max_flow_duration_s = max_flow_duration_s
        self._stopped = False

    def start(self) -> None:
        """Start the plan's load, if it has any."""
        if self._plan.flows_per_s:
            self._tasks.spawn(self._run(self._plan.flows_per_s))

    def stop(self) -> None:
        """Open no more flows; open flows continue."""
        self._stopped = True

    def answer_counts(self) -> dict[str, int]:
        """Return the number of flows by their answer."""
        return dict(sorted(Counter(flow.answer for flow in self.flows).items()))

    async def flow(self, flow_id: str, balancer: str, type_name: str) -> None:
        """Open a flow and wait until it ends."""
        sent_at = time.monotonic_ns()
        outcome = _Outcome()
        try:
            await self._connect(flow_id, balancer, type_name, outcome)
        except TimeoutError:
            outcome.answer = "none"
        except ConnectionRefusedError:
            outcome.answer = "refused"
        except ConnectionResetError:
            outcome.answer = "reset"
        except OSError:
            outcome.answer = "none"
        outcome.answered_at = outcome.answered_at or time.monotonic_ns()
        deadline = sent_at + TIMEOUT_MS * MILLISECOND
        self._add(
            ClientFlow(
                flow_id,
                EFFECTS[type_name],
                sent_at,
                deadline,
                outcome.answer,
                outcome.answered_at,
                balancer,
            )
        )

    async def _run(self, flows_per_s: float) -> None:
        rng = self._rng
        names = list(self._balancers)
        number = 0
        while not self._stopped:
            await asyncio.sleep(rng.expovariate(flows_per_s))
            number += 1
            flow_id = f"f{number}"
            balancer = rng.choice(names)
            type_name = BOOK if number % BOOK_INTERVAL == 0 else VIEW
            if type_name == BOOK and rng.random() < self._plan.repeat_probability:
                self.repeated.add(flow_id)
                repeat = self._repeat(flow_id, rng.choice(names), rng.choice(REPEAT_DELAYS_S))
                self._tasks.spawn(repeat)
            self._tasks.spawn(self.flow(flow_id, balancer, type_name))

    async def _repeat(self, flow_id: str, balancer: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.flow(flow_id, balancer, BOOK)

    async def _connect(
        self, flow_id: str, balancer: str, type_name: str, outcome: _Outcome
    ) -> None:
        """Connect, read the answer, and keep an established flow open for a while.

        Raises:
            OSError: the connection could not be made in time or broke; includes TimeoutError.
        """
        writer = None
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + LATE_ANSWER_S):
                reader, writer = await asyncio.open_connection(*self._balancers[balancer].listen)
                text = flow_id.encode().hex()
                line = f"OPEN {flow_id} {text} c={type_name},d={TIMEOUT_MS}\r\n"
                writer.write(line.encode())
                self._recording.observe(
                    "sent", flow_id, balancer, type=type_name, wait_ms=TIMEOUT_MS
                )
                answer = (await reader.readline()).decode().rstrip("\r\n")
            self._on_answer(flow_id, balancer, answer, outcome)
            if outcome.answer == "UP":
                await self._keep_open(reader)
        finally:
            if writer is not None:
                writer.close()

    def _on_answer(self, flow_id: str, balancer: str, answer: str, outcome: _Outcome) -> None:
        """Record an answer line, which is empty if the connection ended without an answer."""
        outcome.answered_at = time.monotonic_ns()
        outcome.answer = answer.split(" ")[0] or "end"
        if answer:
            kind = ANSWER_KINDS.get(outcome.answer, "failed")
            self._recording.observe("answer", flow_id, balancer, kind=kind, line=answer)

    async def _keep_open(self, reader: asyncio.StreamReader) -> None:
        """Keep a flow open for a random time, or until it is to migrate or its connection ends."""
        if not self._max_flow_duration_s:
            return
        try:
            async with asyncio.timeout(self._rng.uniform(0, self._max_flow_duration_s)):
                await reader.readline()
        except TimeoutError:
            pass

    def _add(self, flow: ClientFlow) -> None:
        self.flows.append(flow)
        self._recording.record(
            FLOW_ANSWERED,
            flow=flow.id,
            balancer=flow.balancer,
            answer=flow.answer,
            took_ms=round((flow.answered_at - flow.sent_at) / MILLISECOND, 1),
        )
