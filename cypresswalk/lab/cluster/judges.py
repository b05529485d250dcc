"""What a history must show. Judges read that alone: calls with when they were made and answered, connects at servers, answers at
clients; times are nanoseconds of one machine's clock."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from cypresswalk.lab.checker import check
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.rules import Rules

FOREVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Op:
    """A call on the settings. `result`: "yes", "no" or "unsure"; an unsure one may have come into force, or may yet."""

    kind: str  # "offer" or "show"
    began: int
    ended: int
    result: str
    base: int = 0  # of an offer
    value: int = 0  # offered or shown
    version: int = 0  # made or shown


def linearizable(ops: list[Op], first: tuple[int, int]) -> str:
    """Whether there is one order of all calls, each at a moment between its begin and its end, in which every answer is right for a
    register with compare-and-set (Wing and Gong, JPDC 1993, with the memory of Lowe, 2017: a set of calls done and the state that
    they led to is looked at once). `first`: the version and value before. Says what can't be placed, or nothing."""
    # A refused offer binds nothing here: it may have met a pending one.
    ops = sorted((op for op in ops if op.result != "no"), key=lambda op: op.began)
    ends = [op.ended if op.result == "yes" else FOREVER for op in ops]
    seen: set[tuple[int, tuple[int, int]]] = set()
    stack = [(0, first)]
    best = 0
    must = sum(1 << i for i, op in enumerate(ops) if op.result == "yes")
    while stack:
        done, state = stack.pop()
        if (done, state) in seen:
            continue
        seen.add((done, state))
        if done & must == must:
            return ""
        best = max(best, bin(done & must).count("1"))
        left = [i for i in range(len(ops)) if not done >> i & 1]
        soonest = min((ends[i] for i in left), default=FOREVER)
        for i in left:
            op = ops[i]
            if op.began > soonest:
                break
            if op.kind == "show":
                if (op.version, op.value) == state:
                    stack.append((done | 1 << i, state))
            elif op.base == state[0]:
                # An unsure one made a version that nobody told: the next known one decides which.
                for version in [op.version] if op.version else possible(ops, state[0]):
                    if version > state[0]:
                        stack.append((done | 1 << i, (version, op.value)))
    return f"no order of {len(ops)} calls explains the answers; {best} of {bin(must).count('1')} could be placed"


def possible(ops: list[Op], after: int) -> list[int]:
    return sorted(
        {op.version for op in ops if op.version > after}
        | {op.base for op in ops if op.base > after}
        | {after + 1}
    )


@dataclass(frozen=True, slots=True)
class Down:
    """A server taken out for all: asked for, agreed, put back again (asked for)."""

    server: str
    asked: int
    agreed: int
    settled: int = FOREVER  # when it was said that no balancer sends there any more
    back: int = FOREVER


def contradiction(
    downs: list[Down], opens: list[tuple[int, str, str]], stated: int, slack: int
) -> tuple[int, list[str]]:
    """The longest time after which a balancer still sent something new to a server that the fleet had agreed is out, and what breaks
    the stated time or a yes. `opens`: when, server, balancer."""
    longest, broken = 0, []
    for down in downs:
        for at, server, balancer in opens:
            if server != down.server or not down.agreed < at < down.back:
                continue
            longest = max(longest, at - down.agreed)
            if at > down.agreed + stated + slack:
                broken.append(
                    f"{balancer} sent to {server} {(at - down.agreed) / 1e9:.3f} s after all had agreed that it is out"
                )
            if at > down.settled + slack:
                broken.append(
                    f"{balancer} sent to {server} {(at - down.settled) / 1e9:.3f} s after the yes for all balancers"
                )
    return longest, broken


def forgotten(downs: list[Down], out: set[str]) -> list[str]:
    return [
        f"{d.server} was taken out with a yes and is not out at the end"
        for d in downs
        if d.back == FOREVER and d.server not in out
    ]


@dataclass(frozen=True, slots=True)
class Flow:
    ident: str
    effect: str
    asked: int
    due: int
    answer: str  # the first line, or "end", "reset", "none"
    answered: int
    balancer: str


def answers(flows: list[Flow], harmed: dict[str, list[tuple[int, int]]], slack: int) -> list[str]:
    """Rule 1 as clients see it: one answer in time. `harmed`: when the rig itself killed, froze or stopped a balancer, from and
    until; what it held then, its clients bear."""
    broken = []
    for flow in flows:
        if excused(flow, harmed, slack):
            continue
        if flow.answer in ("end", "reset", "none"):
            broken.append(f"flow {flow.ident} at {flow.balancer} got no answer ({flow.answer})")
        elif flow.answered > flow.due + slack:
            broken.append(
                f"flow {flow.ident} at {flow.balancer} was answered {(flow.answered - flow.due) / 1e9:.3f} s late"
            )
    return broken


def excused(flow: Flow, harmed: dict[str, list[tuple[int, int]]], slack: int) -> bool:
    last = max(flow.due, flow.answered)
    return any(
        begin - slack <= last and flow.asked <= end + slack
        for begin, end in harmed.get(flow.balancer, ())
    )


def four_rules(
    seen: Iterable[Observation],
    rules: Rules,
    flows: list[Flow],
    harmed: dict[str, list[tuple[int, int]]],
    slack: int,
) -> list[str]:
    """The lab's own checker over the fleet: rules 1 and 2 flow by flow, 3 by what each balancer's own list told, 4 over the sum of
    all. A flow that a balancer held while the rig froze or killed it counts as its client's that left."""
    lost = {flow.ident for flow in flows if excused(flow, harmed, slack)}
    events = [
        Observation(e.at, "left", e.flow, e.subject, e.fields)
        if e.kind == "answer" and e.flow in lost
        else e
        for e in seen
    ]
    events += [
        Observation(flow.asked, "left", flow.ident, flow.balancer, {})
        for flow in flows
        if flow.ident in lost
    ]
    return [str(breach) for breach in check(events, rules)]


@dataclass(frozen=True, slots=True)
class Span:
    balancer: str
    begin: int
    end: int
    how: str


KNOWN = (
    8 * 1_000_000_000
)  # after so long whoever leads must know who is lost: heard last, an election, a read's age


def out_at_once(
    own: list[Span],
    lost: list[Span],
    went: list[tuple[int, str, str]],
    most: int,
    turned: list[int],
    slack: int,
) -> tuple[int, int, list[str]]:
    """How many were out at most by the program's own doing, and with those that were lost, and what breaks the bound. `own`: drained, or
    being changed; `lost`: fronts that answered nobody; `went`: when who was told to go, and how; `turned`: when the way back was asked for.
    A look may be `slack` late, so that two that follow each other seem to overlap by it."""
    broken, most_own, most_all = [], 0, 0
    for at in sorted({span.begin for span in [*own, *lost]}):
        out = {s.balancer for s in own if s.begin <= at < s.end - slack}
        away = {s.balancer for s in lost if s.begin <= at < s.end - slack}
        most_own, most_all = max(most_own, len(out)), max(most_all, len(out | away))
        if len(out) > most:
            broken.append(
                f"{', '.join(sorted(out))} are out at once by the program's doing, {most} may be"
            )
    for at, name, how in went:
        # Being changed without having been told to go is out to nobody; drained is.
        out = {
            other
            for when, other, _ in went
            if when < at
            and other != name
            and any(s.balancer == other and s.begin <= when <= at < s.end - slack for s in own)
        }
        away = {s.balancer for s in lost if s.begin < at - KNOWN and s.end > at + slack} - {name}
        healed = any(when < at for when in turned) and any(
            s.balancer == name and s.begin < at and s.end > at - KNOWN for s in lost
        )
        if away and not healed and len(out | away | {name}) > most:
            broken.append(
                f"{name} went out ({how}) while {', '.join(sorted(out | away))} were out or lost, {most} may be"
            )
    return most_own, most_all, list(dict.fromkeys(broken))


def halted(
    went: list[tuple[int, str, str]],
    halts: list[tuple[int, int]],
    resumes: list[int],
    turned: list[int],
    slack: int,
) -> tuple[int, list[str]]:
    """The longest time from a halt's yes to the last one that went out all the same, and what came too late. `halts`: when each was asked
    for and agreed; a resume that was asked for later may have ended it."""
    longest, broken = 0, []
    for asked, agreed in halts:
        until = min((at for at in resumes if at > asked), default=FOREVER)
        for at, name, how in went:
            if agreed < at < until and (how == "drain" or not any(when < at for when in turned)):
                longest = max(longest, at - agreed)
                if at > agreed + slack:
                    broken.append(
                        f"{name} went out ({how}) {(at - agreed) / 1e9:.2f} s after a yes to a halt"
                    )
    return longest, broken


def ran_twice(runs: list[tuple[str, str, str]]) -> list[str]:
    """Rule 2 at the servers. `runs`: id, effect, server."""
    counts: dict[str, list[str]] = defaultdict(list)
    for ident, effect, server in runs:
        if effect == "once-only":
            counts[ident].append(server)
    return [
        f"once-only flow {ident} ran at {', '.join(servers)}"
        for ident, servers in counts.items()
        if len(servers) > 1
    ]
