"""Whether the four rules held, by what the stand-ins saw.

Written from the rules, not from the balancer: it imports nothing of the product. Each breach names the flow, the rule, the
times and the events that show it. What a client could not have been owed is no breach: a balancer killed while a flow
waits takes it along (the client's to repeat), a client that left is owed nothing, a day's end cuts off what is under way."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cypresswalk.lab.experiment import Experiment, names_of
from cypresswalk.lab.seen import Event
from cypresswalk.lab.world import MILLISECOND, SECOND, turnover

SLACK = 50 * MILLISECOND  # the platform's own: each limit is that much longer on sockets
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class TypeRule:
    effect: str
    scope: str
    window: int


@dataclass(frozen=True, slots=True)
class ServerRule:
    zone: str
    cell: int
    capacity: float  # loads, when warm
    cold_share: float
    cold: int


@dataclass(frozen=True, slots=True)
class Rules:
    types: dict[str, TypeRule]
    servers: dict[str, ServerRule]
    max_connects: int
    grace: int
    overload_factor: float
    fall: int
    turnover: float
    slack: int = SLACK

    @staticmethod
    def of(experiment: Experiment) -> "Rules":
        settings = experiment.settings
        return Rules(
            {
                t.name: TypeRule(t.effect, t.scope, int(t.window_ms * MILLISECOND))
                for t in experiment.types
            },
            {
                name: ServerRule(
                    m.zone,
                    m.cell,
                    m.cores * m.speed * m.per_core,
                    m.cold_share,
                    int(m.cold_s * SECOND),
                )
                for m in experiment.servers
                for name in names_of(m)
            },
            settings.max_connects,
            int(settings.drain_grace_ms * MILLISECOND),
            settings.overload_factor,
            int(settings.fall_ms * MILLISECOND),
            turnover(experiment),
        )


@dataclass(slots=True)
class Breach:
    rule: str
    flow: str
    at: int
    said: str
    evidence: list[Event]

    def __str__(self) -> str:
        lines = "".join(f"\n    {event}" for event in self.evidence[:12])
        return f"{self.rule}: {self.flow or '-'} at {self.at / 1e9:.3f} s: {self.said}{lines}"


@dataclass(slots=True)
class Attempt:
    event: Event
    reply: Event | None = None
    over: int = NEVER  # when it was no longer out; a connect that stands is no longer out either
    may_have_run: bool = True
    broke: Event | None = None
    let_go: Event | None = None

    @property
    def at(self) -> int:
        return self.event.at

    @property
    def server(self) -> str:
        return self.event.who


@dataclass(slots=True)
class FlowSeen:
    sent: list[Event] = field(default_factory=list)
    answers: list[Event] = field(default_factory=list)
    left: Event | None = None
    ended: Event | None = None
    attempts: list[Attempt] = field(default_factory=list)
    lines: list[Event] = field(default_factory=list)
    struck: bool = False  # a fault of the lab's own was put on one of its connections


class Oracle:
    def __init__(self, events: Iterable[Event], rules: Rules):
        self.events, self.rules = sorted(events, key=lambda e: e.at), rules
        self.flows: dict[str, FlowSeen] = defaultdict(FlowSeen)
        self.downs: dict[str, list[int]] = defaultdict(list)  # balancers' deaths
        self.mute: dict[str, list[tuple[int, str]]] = defaultdict(
            list
        )  # of servers, when they stopped answering
        self.told: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
        self.starts: dict[str, list[int]] = defaultdict(list)
        self.versions: dict[str, int] = {}  # the latest of the list that each balancer was told
        self.end = NEVER
        self.said_again: set[tuple[str, str]] = set()
        self.strangers: list[
            Event
        ] = []  # attempts for a bad client's copy of an id, at a balancer that can't know
        self.breaches: list[Breach] = []
        self.struck = {
            (e.who, port) for e in self.events if e.what == "fault" for port in e.words["ports"]
        }
        for event in self.events:
            self.read(event)

    def read(self, event: Event) -> None:
        flow = self.flows[event.flow] if event.flow else None
        match event.what:
            case "sent":
                flow.sent.append(event)
                flow.struck |= ("client", event.words.get("port")) in self.struck
            case "answer":
                flow.answers.append(event)
            case "left":
                flow.left = event
            case "ended":
                flow.ended = event
            case "said_again":
                self.said_again.add((event.flow, event.who))
            case "attempt":
                at = event.words["balancer"]
                if (event.flow, at) in self.said_again and flow.sent and flow.sent[0].who != at:
                    self.strangers.append(event)
                else:
                    flow.attempts.append(Attempt(event))
                    flow.struck |= ("server", event.words.get("port")) in self.struck
            case "reply" | "let_go" | "broke":
                for attempt in flow.attempts:
                    if attempt.event.words["number"] == event.words["number"]:
                        self.follow(attempt, event)
            case "lines":
                flow.lines.append(event)
            case "balancer_down":
                self.downs[event.who].append(event.at)
            case "server_down" | "server_mute":
                self.mute[event.who].append((event.at, event.what))
                if event.what == "server_down":
                    self.server_died(event)
            case "server_up":
                self.starts[event.who].append(event.at)
            case "told" if not self.outdated(event):
                self.told[event.who, event.words["server"]].append((event.at, event.words["life"]))
            case "day_ended":
                self.end = event.at

    def outdated(self, event: Event) -> bool:
        """A list that knows less than what this balancer was told before takes no drain back."""
        version = event.words.get("version", 0)
        known = self.versions.get(event.who, 0)
        self.versions[event.who] = max(version, known)
        return version < known and event.words["life"] == "in_service"

    def server_died(self, event: Event) -> None:
        """Its connections end with it, those in the middle of a set-up too. Guards a balancer that goes on at once from
        being blamed for two connects out."""
        for flow in self.flows.values():
            for attempt in flow.attempts:
                if attempt.server == event.who and attempt.over == NEVER:
                    attempt.over = event.at

    def follow(self, attempt: Attempt, event: Event) -> None:
        if event.what == "reply":
            attempt.reply = event
            attempt.may_have_run = event.words["kind"] != "busy"
        elif event.what == "broke":
            attempt.broke = event
        else:
            attempt.let_go = event
        attempt.over = min(attempt.over, event.at)

    def judge(self) -> list[Breach]:
        for ident, flow in self.flows.items():
            if not flow.sent:
                for attempt in flow.attempts:
                    self.breach(
                        "one answer",
                        ident,
                        attempt.at,
                        "a server was sent what no client had sent",
                        [attempt.event],
                    )
                continue
            self.one_answer(ident, flow)
            self.one_effect(ident, flow)
            self.whole_lines(ident, flow)
        self.drains()
        self.cold()
        return sorted(self.breaches, key=lambda b: b.at)

    def breach(self, rule: str, flow: str, at: int, said: str, evidence: list[Event]) -> None:
        self.breaches.append(Breach(rule, flow, at, said, evidence))

    def died(self, balancer: str, since: int, until: int) -> bool:
        downs = self.downs[balancer]
        at = bisect_right(downs, since - self.rules.slack)
        return at < len(downs) and downs[at] <= until + self.rules.slack

    # Rule one.

    def one_answer(self, ident: str, flow: FlowSeen) -> None:
        sent, slack = flow.sent[0], self.rules.slack
        deadline = sent.at + sent.words["wait_ms"] * MILLISECOND + slack
        evidence = [sent, *flow.answers, *(a.event for a in flow.attempts)]
        if len(flow.answers) > 1:
            self.breach("one answer", ident, flow.answers[1].at, "a second final answer", evidence)
        if not flow.answers:
            over = min(
                deadline,
                flow.ended.at if flow.ended else NEVER,
                flow.left.at if flow.left else NEVER,
            )
            excused = (
                flow.struck
                or flow.left is not None
                or self.end < deadline
                or self.died(sent.who, sent.at, over)
            )
            if not excused:
                how = flow.ended.words["how"] if flow.ended and flow.ended.at < deadline else None
                said = (
                    f"its connection ended ({how}) with no answer"
                    if how
                    else "no final answer in time"
                )
                self.breach("one answer", ident, over, said, evidence + [flow.ended] * bool(how))
            return
        answer = flow.answers[0]
        if answer.at > deadline:
            late = (answer.at - deadline + slack) / MILLISECOND
            self.breach(
                "one answer",
                ident,
                answer.at,
                f"answered {late:.0f} ms after its connect timeout",
                evidence,
            )
        for attempt in flow.attempts:
            if attempt.at > answer.at + slack:
                self.breach(
                    "one answer",
                    ident,
                    attempt.at,
                    "a server was sent it after its final answer",
                    evidence,
                )
        if answer.words["kind"] == "up":
            given = [
                a
                for a in flow.attempts
                if a.reply and a.reply.words.get("receipt") == answer.words["line"]
            ]
            if not given:
                self.breach(
                    "one answer",
                    ident,
                    answer.at,
                    "established with what no server gave for it",
                    evidence,
                )

    # Rule two.

    def one_effect(self, ident: str, flow: FlowSeen) -> None:
        rule = self.rules.types[flow.sent[0].words["type"]]
        evidence = [e for a in flow.attempts for e in (a.event, a.reply, a.let_go, a.broke) if e]
        if len(flow.attempts) > self.rules.max_connects:
            self.breach(
                "no effect twice",
                ident,
                flow.attempts[-1].at,
                f"{len(flow.attempts)} connects of {self.rules.max_connects} allowed",
                evidence,
            )
        for before, after in zip(flow.attempts, flow.attempts[1:]):
            if before.over > after.at + self.rules.slack:
                self.breach(
                    "no effect twice",
                    ident,
                    after.at,
                    "a second connect while one was out",
                    evidence,
                )
        ran: Attempt | None = None
        for attempt in flow.attempts:
            if ran is not None and rule.effect != "repeatable":
                self.sent_again(ident, rule, ran, attempt, evidence)
            if ran is None and attempt.may_have_run:
                ran = attempt
        for answer in flow.answers:
            harmless = (
                rule.effect == "repeatable" or rule.effect == "referenced" and rule.scope == "all"
            )
            if (
                answer.words["kind"] == "busy"
                and not harmless
                and ran is not None
                and ran.at <= answer.at
            ):
                self.breach(
                    "no effect twice",
                    ident,
                    answer.at,
                    "rejected, though it may have run",
                    evidence + [answer],
                )

    def sent_again(
        self, ident: str, rule: TypeRule, ran: Attempt, again: Attempt, evidence: list[Event]
    ) -> None:
        if rule.effect == "once-only":
            self.breach(
                "no effect twice", ident, again.at, "sent again, though it may have run", evidence
            )
            return
        if again.at > ran.at + rule.window + self.rules.slack:
            self.breach("no effect twice", ident, again.at, "sent again after its window", evidence)
        here, there = self.rules.servers[ran.server], self.rules.servers[again.server]
        if (
            rule.scope == "zone"
            and here.zone != there.zone
            or rule.scope == "cell"
            and here.cell != there.cell
        ):
            self.breach(
                "no effect twice", ident, again.at, "sent again outside its group", evidence
            )

    # Standing connections.

    def whole_lines(self, ident: str, flow: FlowSeen) -> None:
        numbers = {a.event.words["number"] for a in flow.attempts}
        sides = {
            e.words["side"]: e
            for e in flow.lines
            if e.words["side"] == "client" or e.words["number"] in numbers
        }
        client, server = sides.get("client"), sides.get("server")
        # What the lab itself garbles or cuts is not the balancer's; one answer and one effect are owed all the same.
        if client is None or server is None or flow.struck:
            return
        how = flow.ended.words["how"] if flow.ended else None
        for way, said, heard, all_owed in (
            ("up", client, server, how == "own"),
            ("down", server, client, how == "bye"),
        ):
            words, got = said.words["said"], heard.words["heard"]
            if got != words[: len(got)]:
                self.breach(
                    "lines",
                    ident,
                    heard.at,
                    f"{way}: heard {got} of what was said {words}",
                    [said, heard],
                )
            elif all_owed and len(got) < len(words) and not self.excused(flow, flow.ended.at):
                self.breach(
                    "lines",
                    ident,
                    heard.at,
                    f"{way}: {len(words) - len(got)} of {len(words)} lines lost at an orderly end",
                    [said, heard],
                )
        if how in ("end", "reset") and not self.excused(flow, flow.ended.at):
            self.breach(
                "lines",
                ident,
                flow.ended.at,
                "cut off without MOVE from a server that still answered",
                [flow.ended, *(a.event for a in flow.attempts)],
            )

    def excused(self, flow: FlowSeen, until: int) -> bool:
        """Whether a server's or a balancer's end explains that of the connection."""
        last = flow.attempts[-1]
        muted = any(last.at - SECOND <= at <= until for at, _ in self.mute[last.server])
        return (
            last.broke is not None
            or muted
            or self.end <= until
            or self.died(flow.sent[0].who, last.at, until)
        )

    # Rule three.

    def drains(self) -> None:
        for ident, flow in self.flows.items():
            for attempt in flow.attempts:
                told = self.told[attempt.event.words["balancer"], attempt.server]
                at = bisect_right(told, (attempt.at, "~"))
                if not at or told[at - 1][1] == "in_service":
                    continue
                since = at - 1
                while since and told[since - 1][1] != "in_service":
                    since -= 1
                late = attempt.at - told[since][0] - self.rules.grace - self.rules.slack
                if late > 0:
                    said = (
                        f"sent to {attempt.server} {late / MILLISECOND:.0f} ms past the grace after it was told "
                        f"{told[since][1]} at {told[since][0] / 1e9:.3f} s"
                    )
                    self.breach("drains", ident, attempt.at, said, [attempt.event])

    # Rule four.

    def cold(self) -> None:
        sent: dict[str, list[Event]] = defaultdict(list)
        for flow in self.flows.values():
            for attempt in flow.attempts:
                sent[attempt.server].append(attempt.event)
        for server, starts in self.starts.items():
            rule, events = self.rules.servers[server], sorted(sent[server], key=lambda e: e.at)
            for start in starts:
                self.one_start(
                    server, rule, start, [e for e in events if start <= e.at < start + rule.cold]
                )

    def one_start(self, server: str, rule: ServerRule, start: int, events: list[Event]) -> None:
        first, load = 0, 0.0
        for event in events:
            load += event.words["load"]
            while events[first].at <= event.at - self.rules.fall:
                load -= events[first].words["load"]
                first += 1
            warm = rule.cold_share + (1 - rule.cold_share) * (event.at - start) / rule.cold
            budget = (
                self.rules.overload_factor
                * rule.capacity
                * warm
                * self.rules.turnover
                * self.rules.fall
                / SECOND
            )
            within = [e for e in events[first:] if e.at <= event.at]
            if load > max(budget, 1.0) and len(within) > 1:
                self.breach(
                    "cold",
                    event.flow,
                    event.at,
                    f"{server}, started at {start / 1e9:.3f} s, was sent loads of "
                    f"{load:.1f} within the rule's time, {budget:.1f} are allowed",
                    within,
                )
                return


def judge(events: Iterable[Event], rules: Rules) -> list[Breach]:
    """All breaches, by time; none if the rules held."""
    return Oracle(events, rules).judge()
