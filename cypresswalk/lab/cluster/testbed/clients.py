"""Clients: a load of flows at random balancers."""

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

BOOK_INTERVAL = 5  # one flow in so many is a booking
REPEAT_DELAYS_S = (0, 0, 0.05, 0.5, 2, 5)
LATE_ANSWER_S = 1.0  # that a client waits beyond its deadline
ANSWER_KINDS = {"UP": "up", "BUSY": "busy"}  # others are failures


@dataclass(slots=True)
class _Outcome:
    """How a flow ended: the first word of its answer, or what came instead; when."""

    answer: str = "none"
    answered_at: int = 0


class Clients:
    """All clients of a cluster.

    Attributes:
        flows: that have ended.
        repeated: ids that were sent twice, which the lab's checker, made for one answer a flow,
            does not fit.
    """

    def __init__(
        self,
        plan: Plan,
        balancers: Mapping[str, BalancerHost],
        recording: Recording,
        tasks: BackgroundTasks,
        chance: Random,
        max_stay_s: float = 0.0,
    ):
        """Nobody comes yet.

        Args:
            plan: says how many come, and how many send an id twice.
            balancers: where they come to.
            recording: of what they do.
            tasks: runs each flow.
            chance: of when who comes where.
            max_stay_s: for which a client stays once its flow is established; each stays for a
                random part of it.
        """
        self.flows: list[ClientFlow] = []
        self.repeated: set[str] = set()
        self._plan = plan
        self._balancers = balancers
        self._recording = recording
        self._tasks = tasks
        self._chance = chance
        self._max_stay_s = max_stay_s
        self._stopped = False

    def start(self) -> None:
        """Begin the plan's load, if it has any."""
        if self._plan.flows_per_s:
            self._tasks.spawn(self._run(self._plan.flows_per_s))

    def stop(self) -> None:
        """Let nobody come any more; flows under way go on."""
        self._stopped = True

    def answer_counts(self) -> dict[str, int]:
        """Return how many flows got each answer."""
        return dict(sorted(Counter(flow.answer for flow in self.flows).items()))

    async def flow(self, flow_id: str, balancer: str, type_name: str) -> None:
        """Send a flow and wait for its end."""
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
        chance = self._chance
        names = list(self._balancers)
        number = 0
        while not self._stopped:
            await asyncio.sleep(chance.expovariate(flows_per_s))
            number += 1
            flow_id = f"f{number}"
            balancer = chance.choice(names)
            type_name = BOOK if number % BOOK_INTERVAL == 0 else VIEW
            if type_name == BOOK and chance.random() < self._plan.repeat_probability:
                self.repeated.add(flow_id)
                repeat = self._repeat(flow_id, chance.choice(names), chance.choice(REPEAT_DELAYS_S))
                self._tasks.spawn(repeat)
            self._tasks.spawn(self.flow(flow_id, balancer, type_name))

    async def _repeat(self, flow_id: str, balancer: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.flow(flow_id, balancer, BOOK)

    async def _connect(
        self, flow_id: str, balancer: str, type_name: str, outcome: _Outcome
    ) -> None:
        """Connect, get an answer, and stay for a while.

        Raises:
            OSError: the connection could not be made in time, or broke; a TimeoutError too.
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
                await self._stay(reader)
        finally:
            if writer is not None:
                writer.close()

    def _on_answer(self, flow_id: str, balancer: str, answer: str, outcome: _Outcome) -> None:
        """Note an answer's line; it is empty where the connection ended without one."""
        outcome.answered_at = time.monotonic_ns()
        outcome.answer = answer.split(" ")[0] or "end"
        if answer:
            kind = ANSWER_KINDS.get(outcome.answer, "failed")
            self._recording.observe("answer", flow_id, balancer, kind=kind, line=answer)

    async def _stay(self, reader: asyncio.StreamReader) -> None:
        """Stay until told to migrate, the connection's end, or a random time."""
        if not self._max_stay_s:
            return
        try:
            async with asyncio.timeout(self._chance.uniform(0, self._max_stay_s)):
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
