"""Observations grouped by flow and by host, for the checker."""

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
        opened: The observation of the opening line at the server.
        reply: The observation of the server's reply.
        pending_until: The time until which the attempt was pending, in nanoseconds: that of the
            reply, or of the end of the connection or the server if it came earlier.
        may_have_run: Whether the flow may have had its effect.
        ended_by_server: The observation that the server ended the connection.
        ended_by_balancer: The observation that the balancer ended the connection.
    """

    opened: Observation
    reply: Observation | None = None
    pending_until: int = NEVER
    may_have_run: bool = True
    ended_by_server: Observation | None = None
    ended_by_balancer: Observation | None = None

    @property
    def at(self) -> int:
        """The time at which it reached the server, in nanoseconds."""
        return self.opened.at

    @property
    def server(self) -> str:
        """The server's name."""
        return self.opened.subject

    @property
    def number(self) -> int:
        """The connection's number, which is unique in the scenario."""
        return self.opened.fields["number"]

    def update(self, observation: Observation) -> None:
        """Add a later observation of its connection: "reply", "broke" or "let_go"."""
        if observation.kind == "reply":
            self.reply = observation
            self.may_have_run = observation.fields["kind"] != "busy"
        elif observation.kind == "broke":
            self.ended_by_server = observation
        else:
            self.ended_by_balancer = observation
        self.pending_until = min(self.pending_until, observation.at)

    def evidence(self) -> list[Observation]:
        """Return all observations of the attempt."""
        observations = (self.opened, self.reply, self.ended_by_balancer, self.ended_by_server)
        return [observation for observation in observations if observation is not None]


@dataclass(slots=True)
class ObservedFlow:
    """The observations of one flow.

    Attributes:
        sent: The client's opening lines.
        answers: The answers that the client read.
        left: The observation that the client left before its answer.
        ended: The observation that the client's connection ended.
        attempts: The attempts, in the order in which they reached servers.
        lines: The lines that each side of an established connection sent and received.
        hit_by_fault: Whether an injected fault hit one of the flow's connections.
    """

    sent: list[Observation] = field(default_factory=list)
    answers: list[Observation] = field(default_factory=list)
    left: Observation | None = None
    ended: Observation | None = None
    attempts: list[Attempt] = field(default_factory=list)
    lines: list[Observation] = field(default_factory=list)
    hit_by_fault: bool = False

    def evidence(self) -> list[Observation]:
        """Return all observations of the flow's attempts."""
        return [observation for attempt in self.attempts for observation in attempt.evidence()]


class History:
    """The history of a scenario's flows, servers and balancers, from its observations."""

    def __init__(self, observations: Iterable[Observation]):
        """Sort all observations by time and read them."""
        in_order = sorted(observations, key=lambda observation: observation.at)
        self.flows: dict[str, ObservedFlow] = defaultdict(ObservedFlow)
        # Times at which each balancer ended.
        self.balancer_deaths: dict[str, list[int]] = defaultdict(list)
        # Times at which each server stopped answering.
        self.server_failures: dict[str, list[int]] = defaultdict(list)
        # Times at which each server started.
        self.server_starts: dict[str, list[int]] = defaultdict(list)
        # By balancer and server: time and state of each notification that the balancer got.
        self.list_updates: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
        # The latest list version that each balancer was notified of.
        self.list_versions: dict[str, int] = {}
        self.scenario_end = NEVER
        # Start and end of each time for which the lab read nothing.
        self.lab_stalls: list[tuple[int, int]] = []
        # Flow id and balancer of each id that a misbehaving client repeated.
        self.repeated_ids: set[tuple[str, str]] = set()
        # Side and port of each connection that an injected fault hit.
        self.hit_ports = {
            (observation.subject, port)
            for observation in in_order
            if observation.kind == "fault"
            for port in observation.fields["ports"]
        }
        for observation in in_order:
            if observation.flow:
                self._read_flow_observation(observation, self.flows[observation.flow])
            else:
                self._read_host_observation(observation)

    def earliest_arrival(self, at: int, slack: int) -> int:
        """Return the earliest time at which what the lab read at a time may have arrived.

        After a stall the lab needs a while, the slack, to read all that has arrived meanwhile.
        """
        starts = [since for since, until in self.lab_stalls if since <= at <= until + slack]
        return min(starts, default=at)

    def balancer_died(self, balancer: str, since: int, until: int, slack: int) -> bool:
        """Return whether a balancer ended between two times, widened by the slack at both ends."""
        deaths = self.balancer_deaths[balancer]
        index = bisect_right(deaths, since - slack)
        return index < len(deaths) and deaths[index] <= until + slack

    def end_explained(self, flow: ObservedFlow, until: int, slack: int) -> bool:
        """Return whether the end of a server, balancer or the scenario explains a flow's end."""
        last = flow.attempts[-1]
        failures = self.server_failures[last.server]
        server_failed = any(last.at - SECOND <= at <= until for at in failures)
        return (
            last.ended_by_server is not None
            or server_failed
            or self.scenario_end <= until
            or self.balancer_died(flow.sent[0].subject, last.at, until, slack)
        )

    def _read_flow_observation(self, observation: Observation, flow: ObservedFlow) -> None:
        match observation.kind:
            case "sent":
                flow.sent.append(observation)
                flow.hit_by_fault |= self._was_hit_by_fault("client", observation)
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

    def _read_host_observation(self, observation: Observation) -> None:
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
            case "lab_late":
                self.lab_stalls.append((observation.fields["since"], observation.at))
            case "day_ended":
                self.scenario_end = observation.at

    def _was_hit_by_fault(self, side: str, observation: Observation) -> bool:
        return (side, observation.fields.get("port")) in self.hit_ports

    def _read_attempt(self, observation: Observation, flow: ObservedFlow) -> None:
        """Add an attempt, unless a misbehaving client's repeated id caused it at another balancer.

        That balancer can't know the original flow, which it never received.
        """
        balancer = observation.fields["balancer"]
        repeated = (observation.flow, balancer) in self.repeated_ids
        if repeated and flow.sent and flow.sent[0].subject != balancer:
            return
        flow.attempts.append(Attempt(observation))
        flow.hit_by_fault |= self._was_hit_by_fault("server", observation)

    def _outdated(self, observation: Observation) -> bool:
        """Return whether a notification is of an older list version and would cancel a drain."""
        version = observation.fields.get("version", 0)
        known = self.list_versions.get(observation.subject, 0)
        self.list_versions[observation.subject] = max(version, known)
        return version < known and observation.fields["life"] == IN_SERVICE

    def _end_attempts_at(self, server: str, at: int) -> None:
        """End the attempts pending at a dead server; a balancer may retry them at once."""
        for flow in self.flows.values():
            for attempt in flow.attempts:
                if attempt.server == server and attempt.pending_until == NEVER:
                    attempt.pending_until = at
