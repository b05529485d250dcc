"""Checks the four rules against the observations of clients, servers and list agents.

The checker is written from the rules, not from the balancer, and imports nothing of the product.
Each violation names the flow, the rule, the time and the observations that show it. A flow may
remain unanswered without a violation if its balancer was killed (the client retries), its client
left, an injected fault hit one of its connections, or the scenario ended before the deadline.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable

from cypresswalk.lab.history import IN_SERVICE, NEVER, Attempt, History, ObservedFlow
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.rules import Rules, ServerRule, TypeRule, Violation
from cypresswalk.lab.units import MILLISECOND, SECOND

ONE_ANSWER = "one answer"
ONE_EFFECT = "no effect twice"
DRAINS = "drains"
COLD_SERVERS = "cold"
LINES = "lines"


class Checker:
    """A check of one scenario's observations against the rules."""

    def __init__(self, observations: Iterable[Observation], rules: Rules):
        """Read all observations."""
        self.rules = rules
        self.history = History(observations)
        self.violations: list[Violation] = []

    def check(self) -> list[Violation]:
        """Return all violations in order of time; none if the rules held."""
        for ident, flow in self.history.flows.items():
            if flow.sent:
                self._check_answers(ident, flow)
                self._check_effect(ident, flow)
                self._check_lines(ident, flow)
                continue
            for attempt in flow.attempts:
                message = "a server was sent a flow that no client had sent"
                self._add_violation(ONE_ANSWER, ident, attempt.at, message, [attempt.opened])
        self._check_drains()
        self._check_cold_servers()
        return sorted(self.violations, key=lambda violation: violation.at)

    def _add_violation(
        self, rule: str, flow: str, at: int, message: str, evidence: list[Observation]
    ) -> None:
        self.violations.append(Violation(rule, flow, at, message, evidence))

    # Rule one: each flow has one answer, by its deadline.

    def _check_answers(self, ident: str, flow: ObservedFlow) -> None:
        sent = flow.sent[0]
        deadline = sent.at + sent.fields["wait_ms"] * MILLISECOND + self.rules.slack
        evidence = [sent, *flow.answers, *(attempt.opened for attempt in flow.attempts)]
        if len(flow.answers) > 1:
            second = flow.answers[1]
            self._add_violation(ONE_ANSWER, ident, second.at, "a second final answer", evidence)
        if flow.answers:
            self._check_first_answer(ident, flow, deadline, evidence)
        else:
            self._check_unanswered(ident, flow, deadline, evidence)

    def _check_unanswered(
        self, ident: str, flow: ObservedFlow, deadline: int, evidence: list[Observation]
    ) -> None:
        sent = flow.sent[0]
        ended_at = flow.ended.at if flow.ended else NEVER
        left_at = flow.left.at if flow.left else NEVER
        unanswered_until = min(deadline, ended_at, left_at)
        if (
            flow.hit_by_fault
            or flow.left is not None
            or self.history.scenario_end < deadline
            or self.history.balancer_died(sent.subject, sent.at, unanswered_until, self.rules.slack)
        ):
            return
        message = "no final answer in time"
        if flow.ended and flow.ended.at < deadline and flow.ended.fields["how"]:
            message = f"its connection ended ({flow.ended.fields['how']}) with no answer"
            evidence = [*evidence, flow.ended]
        self._add_violation(ONE_ANSWER, ident, unanswered_until, message, evidence)

    def _check_first_answer(
        self, ident: str, flow: ObservedFlow, deadline: int, evidence: list[Observation]
    ) -> None:
        answer = flow.answers[0]
        arrived_at = self.history.earliest_arrival(answer.at, self.rules.slack)
        if arrived_at > deadline:
            late_ms = (arrived_at - deadline + self.rules.slack) / MILLISECOND
            message = f"answered {late_ms:.0f} ms after its connect timeout"
            self._add_violation(ONE_ANSWER, ident, answer.at, message, evidence)
        for attempt in flow.attempts:
            if attempt.at > answer.at + self.rules.slack:
                message = "a server was sent it after its final answer"
                self._add_violation(ONE_ANSWER, ident, attempt.at, message, evidence)
        if answer.fields["kind"] == "up":
            line = answer.fields["line"]
            replies = [attempt.reply for attempt in flow.attempts if attempt.reply]
            if not any(reply.fields.get("receipt") == line for reply in replies):
                message = "established with a line that no server sent for it"
                self._add_violation(ONE_ANSWER, ident, answer.at, message, evidence)

    # Rule two: no flow has its effect twice.

    def _check_effect(self, ident: str, flow: ObservedFlow) -> None:
        rule = self.rules.types[flow.sent[0].fields["type"]]
        evidence = flow.evidence()
        self._check_attempts(ident, flow, evidence)
        first_run: Attempt | None = None
        for attempt in flow.attempts:
            if first_run is not None and rule.effect != "repeatable":
                self._check_retry(ident, rule, first_run, attempt, evidence)
            if first_run is None and attempt.may_have_run:
                first_run = attempt
        repeat_is_harmless = rule.effect == "repeatable" or (
            rule.effect == "referenced" and rule.scope == "all"
        )
        if repeat_is_harmless or first_run is None:
            return
        for answer in flow.answers:
            if answer.fields["kind"] == "busy" and first_run.at <= answer.at:
                message = "rejected, though it may have run"
                self._add_violation(ONE_EFFECT, ident, answer.at, message, [*evidence, answer])

    def _check_attempts(self, ident: str, flow: ObservedFlow, evidence: list[Observation]) -> None:
        """Check the number of attempts, and that at most one was pending at a time."""
        limit = self.rules.max_attempts
        if len(flow.attempts) > limit:
            message = f"{len(flow.attempts)} attempts, {limit} are allowed"
            self._add_violation(ONE_EFFECT, ident, flow.attempts[-1].at, message, evidence)
        for before, after in zip(flow.attempts, flow.attempts[1:], strict=False):
            if before.pending_until > after.at + self.rules.slack:
                message = "a second attempt while one was pending"
                self._add_violation(ONE_EFFECT, ident, after.at, message, evidence)

    def _check_retry(
        self,
        ident: str,
        rule: TypeRule,
        first_run: Attempt,
        retry: Attempt,
        evidence: list[Observation],
    ) -> None:
        """Check a retry of a flow that an earlier attempt may have executed."""
        if rule.effect == "once-only":
            message = "sent again, though it may have run"
            self._add_violation(ONE_EFFECT, ident, retry.at, message, evidence)
            return
        if retry.at > first_run.at + rule.window + self.rules.slack:
            self._add_violation(
                ONE_EFFECT, ident, retry.at, "sent again after its window", evidence
            )
        first = self.rules.servers[first_run.server]
        second = self.rules.servers[retry.server]
        other_zone = rule.scope == "zone" and first.zone != second.zone
        other_cell = rule.scope == "cell" and first.cell != second.cell
        if other_zone or other_cell:
            self._add_violation(
                ONE_EFFECT, ident, retry.at, "sent again outside its scope", evidence
            )

    # Established connections: each side receives the lines that the other sent.

    def _check_lines(self, ident: str, flow: ObservedFlow) -> None:
        numbers = {attempt.number for attempt in flow.attempts}
        sides = {
            lines.fields["side"]: lines
            for lines in flow.lines
            if lines.fields["side"] == "client" or lines.fields["number"] in numbers
        }
        client = sides.get("client")
        server = sides.get("server")
        # The balancer is not responsible for lines that an injected fault garbled or cut off. The
        # rules on answers and effects still apply, but such a flow may remain unanswered.
        if client is None or server is None or flow.hit_by_fault:
            return
        how = flow.ended.fields["how"] if flow.ended else None
        self._check_direction(ident, flow, "up", client, server, how == "own")
        self._check_direction(ident, flow, "down", server, client, how == "bye")
        if flow.ended and how in ("end", "reset") and not self._end_explained(flow, flow.ended):
            message = "cut off without MOVE from a server that still answered"
            evidence = [flow.ended, *(attempt.opened for attempt in flow.attempts)]
            self._add_violation(LINES, ident, flow.ended.at, message, evidence)

    def _check_direction(
        self,
        ident: str,
        flow: ObservedFlow,
        direction: str,
        sender: Observation,
        receiver: Observation,
        all_expected: bool,
    ) -> None:
        """Check that the received lines are a prefix of the sent ones, or all if `all_expected`."""
        said = sender.fields["said"]
        heard = receiver.fields["heard"]
        evidence = [sender, receiver]
        if heard != said[: len(heard)]:
            message = f"{direction}: received {heard} of the lines sent {said}"
            self._add_violation(LINES, ident, receiver.at, message, evidence)
            return
        lost = len(said) - len(heard)
        if all_expected and flow.ended and lost > 0 and not self._end_explained(flow, flow.ended):
            message = f"{direction}: {lost} of {len(said)} lines lost at an orderly end"
            self._add_violation(LINES, ident, receiver.at, message, evidence)

    def _end_explained(self, flow: ObservedFlow, ended: Observation) -> bool:
        return self.history.end_explained(flow, ended.at, self.rules.slack)

    # Rule three: a draining server gets no new flow after its grace period.

    def _check_drains(self) -> None:
        for ident, flow in self.history.flows.items():
            for attempt in flow.attempts:
                self._check_drain(ident, attempt)

    def _check_drain(self, ident: str, attempt: Attempt) -> None:
        balancer = attempt.opened.fields["balancer"]
        updates = self.history.list_updates[balancer, attempt.server]
        # "~" sorts after every state, so that updates at the attempt's time are included.
        index = bisect_right(updates, (attempt.at, "~"))
        if not index or updates[index - 1][1] == IN_SERVICE:
            return
        first = index - 1
        while first and updates[first - 1][1] != IN_SERVICE:
            first -= 1
        notified_at, state = updates[first]
        late = attempt.at - notified_at - self.rules.drain_grace - self.rules.slack
        if late > 0:
            message = (
                f"sent to {attempt.server} {late / MILLISECOND:.0f} ms past the grace period"
                f" after the notification of {state} at {notified_at / 1e9:.3f} s"
            )
            self._add_violation(DRAINS, ident, attempt.at, message, [attempt.opened])

    # Rule four: a cold server gets no more load than its budget.

    def _check_cold_servers(self) -> None:
        attempts: dict[str, list[Observation]] = defaultdict(list)
        for flow in self.history.flows.values():
            for attempt in flow.attempts:
                attempts[attempt.server].append(attempt.opened)
        for server, starts in self.history.server_starts.items():
            rule = self.rules.servers[server]
            in_order = sorted(attempts[server], key=lambda opened: opened.at)
            for start in starts:
                warming = [e for e in in_order if start <= e.at < start + rule.warm_up]
                self._check_warm_up(server, rule, start, warming)

    def _check_warm_up(
        self, server: str, rule: ServerRule, start: int, attempts: list[Observation]
    ) -> None:
        """Check the attempts during a server's warm-up after one start.

        A single attempt within the overload window is always allowed, as is a load of 1.0.
        """
        first = 0
        load = 0.0
        for attempt in attempts:
            load += attempt.fields["load"]
            while attempts[first].at <= attempt.at - self.rules.overload_window:
                load -= attempts[first].fields["load"]
                first += 1
            budget = self._budget(rule, attempt.at - start)
            within = [e for e in attempts[first:] if e.at <= attempt.at]
            if load > max(budget, 1.0) and len(within) > 1:
                message = (
                    f"{server}, started at {start / 1e9:.3f} s, was sent loads of "
                    f"{load:.1f} within the overload window, {budget:.1f} are allowed"
                )
                self._add_violation(COLD_SERVERS, attempt.flow, attempt.at, message, within)
                return

    def _budget(self, rule: ServerRule, age: int) -> float:
        """Return the load that a server of an age may get within the overload window."""
        warm_fraction = (
            rule.warm_up_initial_fraction + (1 - rule.warm_up_initial_fraction) * age / rule.warm_up
        )
        return (
            self.rules.overload_factor
            * rule.capacity
            * warm_fraction
            * self.rules.turnover
            * self.rules.overload_window
            / SECOND
        )


def check(observations: Iterable[Observation], rules: Rules) -> list[Violation]:
    """Return all violations in order of time; none if the rules held."""
    return Checker(observations, rules).check()
