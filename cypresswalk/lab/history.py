"""Observations sorted by flow and by host, as the checker's rules read them."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresswalk.lab.observations import Observation
from cypresswalk.lab.units import SECOND

NEVER = 1 << 62  # nanoseconds: later than any observation
IN_SERVICE = "in_service"


@dataclass(slots=True)
class Attempt:
    """One attempt of a flow at a server.

    Attributes:
        opened: The opening line at the server.
        reply: The server's reply.
        over: When it was no longer pending (established counts as that too), in nanoseconds.
        may_have_run: Whether the flow may have had its effect.
        broken: The server ended the connection.
        released: The balancer ended the connection.
    """

    opened: Observation
    reply: Observation | None = None
    over: int = NEVER
    may_have_run: bool = True
    broken: Observation | None = None
    released: Observation | None = None

    @property
    def at(self) -> int:
        """When it reached the server, in nanoseconds."""
        return self.opened.at

    @property
    def server(self) -> str:
        """The server's name."""
        return self.opened.subject

    @property
    def number(self) -> int:
        """The connection's number, of its own in the scenario."""
        return self.opened.fields["number"]

    def update(self, observation: Observation) -> None:
        """Take what was observed later on its connection: "reply", "broke" or "let_go"."""
        if observation.kind == "reply":
            self.reply = observation
            self.may_have_run = observation.fields["kind"] != "busy"
        elif observation.kind == "broke":
            self.broken = observation
        else:
            self.released = observation
        self.over = min(self.over, observation.at)

    def evidence(self) -> list[Observation]:
        """All that was observed of it."""
        observations = (self.opened, self.reply, self.released, self.broken)
        return [observation for observation in observations if observation is not None]


@dataclass(slots=True)
class ObservedFlow:
    """All that was observed of one flow.

    Attributes:
        sent: The client's opening lines.
        answers: The answers that the client read.
        left: The client went away before its answer.
        ended: The end of the client's connection.
        attempts: In the order in which they reached servers.
        lines: What each side of an established connection said and heard.
        hit_by_fault: Whether an injected fault hit one of its connections.
    """

    sent: list[Observation] = field(default_factory=list)
    answers: list[Observation] = field(default_factory=list)
    left: Observation | None = None
    ended: Observation | None = None
    attempts: list[Attempt] = field(default_factory=list)
    lines: list[Observation] = field(default_factory=list)
    hit_by_fault: bool = False

    def evidence(self) -> list[Observation]:
        """All that was observed of its attempts."""
        return [observation for attempt in self.attempts for observation in attempt.evidence()]


class History:
    """What a scenario's observations say of flows, servers and balancers."""

    def __init__(self, observations: Iterable[Observation]):
        """Sort and read all observations."""
        in_order = sorted(observations, key=lambda observation: observation.at)
        self.flows: dict[str, ObservedFlow] = defaultdict(ObservedFlow)
        # By balancer.
        self.balancer_deaths: dict[str, list[int]] = defaultdict(list)
        # By server: when it stopped answering.
        self.server_failures: dict[str, list[int]] = defaultdict(list)
        # By server.
        self.server_starts: dict[str, list[int]] = defaultdict(list)
        # By balancer and server: when the balancer was notified of which state.
        self.list_updates: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
        # By balancer: the latest version of the list that it was notified of.
        self.list_versions: dict[str, int] = {}
        self.scenario_end = NEVER
        # Flow and balancer, of ids that a misbehaving client sent a second time.
        self.repeated_ids: set[tuple[str, str]] = set()
        # Side and port of connections that an injected fault hit.
        self.hit_ports = {
            (observation.subject, port)
            for observation in in_order
            if observation.kind == "fault"
            for port in observation.fields["ports"]
        }
        for observation in in_order:
            if observation.flow:
                self._read_of_flow(observation, self.flows[observation.flow])
            else:
                self._read_of_host(observation)

    def balancer_died(self, balancer: str, since: int, until: int, slack: int) -> bool:
        """Whether a balancer ended between two times, each widened by the slack."""
        deaths = self.balancer_deaths[balancer]
        index = bisect_right(deaths, since - slack)
        return index < len(deaths) and deaths[index] <= until + slack

    def end_explained(self, flow: ObservedFlow, until: int, slack: int) -> bool:
        """Whether a server's, a balancer's or the scenario's end explains that of a connection."""
        last = flow.attempts[-1]
        failures = self.server_failures[last.server]
        server_failed = any(last.at - SECOND <= at <= until for at in failures)
        return (
            last.broken is not None
            or server_failed
            or self.scenario_end <= until
            or self.balancer_died(flow.sent[0].subject, last.at, until, slack)
        )

    def _read_of_flow(self, observation: Observation, flow: ObservedFlow) -> None:
        match observation.kind:
            case "sent":
                flow.sent.append(observation)
                flow.hit_by_fault |= self._hit("client", observation)
            case "answer":
                flow.answers.append(observation)
            case "left":
                flow.left = observation
            case "ended":
                flow.ended = observation
            case "said_again":
                self.repeated_ids.add((observation.flow, observation.subject))
            case "lines":
                flow.lines.append(observation)
            case _:
                self._read_at_server(observation, flow)

    def _read_at_server(self, observation: Observation, flow: ObservedFlow) -> None:
        match observation.kind:
            case "attempt":
                self._read_attempt(observation, flow)
            case "reply" | "let_go" | "broke":
                for attempt in flow.attempts:
                    if attempt.number == observation.fields["number"]:
                        attempt.update(observation)

    def _read_of_host(self, observation: Observation) -> None:
        subject = observation.subject
        match observation.kind:
            case "balancer_down":
                self.balancer_deaths[subject].append(observation.at)
            case "server_mute":
                self.server_failures[subject].append(observation.at)
            case "server_down":
                self.server_failures[subject].append(observation.at)
                self._end_attempts_at(subject, observation.at)
            case "server_up":
                self.server_starts[subject].append(observation.at)
            case "told" if not self._outdated(observation):
                update = (observation.at, observation.fields["life"])
                self.list_updates[subject, observation.fields["server"]].append(update)
            case "day_ended":
                self.scenario_end = observation.at

    def _hit(self, side: str, observation: Observation) -> bool:
        return (side, observation.fields.get("port")) in self.hit_ports

    def _read_attempt(self, observation: Observation, flow: ObservedFlow) -> None:
        """Add it, unless it is for a repeated id at a balancer that can't know the owner's."""
        balancer = observation.fields["balancer"]
        repeated = (observation.flow, balancer) in self.repeated_ids
        if repeated and flow.sent and flow.sent[0].subject != balancer:
            return
        flow.attempts.append(Attempt(observation))
        flow.hit_by_fault |= self._hit("server", observation)

    def _outdated(self, observation: Observation) -> bool:
        """Whether it is of an older list than the balancer knows, and would end a drain."""
        version = observation.fields.get("version", 0)
        known = self.list_versions.get(observation.subject, 0)
        self.list_versions[observation.subject] = max(version, known)
        return version < known and observation.fields["life"] == IN_SERVICE

    def _end_attempts_at(self, server: str, at: int) -> None:
        """End the attempts pending at a server that died: a balancer may retry at once."""
        for flow in self.flows.values():
            for attempt in flow.attempts:
                if attempt.server == server and attempt.over == NEVER:
                    attempt.over = at
