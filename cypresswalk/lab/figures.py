"""What a day was worth, from what the stand-ins saw. No I/O.

Service: the payoff of the seconds in which clients stood and their lines came back within the message target, over the
payoff of all the seconds they asked for, from the moment each came. Latencies go into HDR histograms (the hdrhistogram
package): a mean would hide the tail, and percentiles of several days can be had only from merged histograms."""

from collections import defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.lab.units import MILLISECOND, SECOND

LONGEST = 60_000_000  # microseconds, of a histogram
WINDOW = 10  # seconds: the worst that follow one another
PERCENTILES = (50, 90, 99, 99.9, 100)


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST, 3)


def record(into: HdrHistogram, span: float) -> None:
    """A span in nanoseconds."""
    into.record_value(min(max(int(span / 1000), 1), LONGEST))


@dataclass(slots=True)
class Stand:
    since: int
    until: int
    echoes: list[tuple[int, float]] = field(
        default_factory=list
    )  # when, and how many milliseconds it took


@dataclass(slots=True)
class PersonSeen:
    type: str
    customer: str
    comes: int
    until: int
    stands: dict[str, Stand] = field(default_factory=dict)


class Figures:
    """Of one day. `summary()` is what reports and comparisons use."""

    def __init__(self, experiment: Experiment, day: ScenarioResult):
        self.experiment, self.day = experiment, day
        self.types = {t.name: t for t in experiment.types}
        self.people: dict[int, PersonSeen] = {}
        self.setups = {name: histogram() for name in self.types}
        self.messages = {name: histogram() for name in self.types}
        self.answers: dict[str, int] = defaultdict(int)
        self.sent = self.attempts = self.moves = self.nobody = self.bad = self.bad_owed = 0
        seconds = int(experiment.seconds) + 1
        self.asked = {name: [0.0] * seconds for name in self.types}
        self.served = {name: [0.0] * seconds for name in self.types}
        self.standing = [0.0] * seconds
        self.read(day.events)
        self.count()

    def read(self, events: list[Observation]) -> None:
        person_of: dict[str, int] = {}
        sent_at: dict[str, int] = {}
        sent_to: dict[str, str] = {}
        for event in sorted(events, key=lambda e: e.at):
            words = event.fields
            match event.kind:
                case "comes":
                    until = min(event.at + words["life_ms"] * MILLISECOND, self.day.ended)
                    self.people[words["person"]] = PersonSeen(
                        words["type"], words["customer"], event.at, until
                    )
                case "sent":
                    self.sent += 1
                    person_of[event.flow], sent_at[event.flow] = words["person"], event.at
                    sent_to[event.flow] = event.subject
                case "attempt":
                    # Not those for a bad client that said another's id elsewhere.
                    self.attempts += sent_to.get(event.flow) == words["balancer"]
                case "answer":
                    self.answers[words["kind"]] += 1
                    person = self.people.get(person_of.get(event.flow))
                    if person is not None and words["kind"] == "up":
                        record(self.setups[person.type], event.at - sent_at[event.flow])
                        person.stands[event.flow] = Stand(event.at, self.day.ended)
                case "echo":
                    person = self.people[words["person"]]
                    record(self.messages[person.type], words["took_ms"] * MILLISECOND)
                    person.stands[event.flow].echoes.append((event.at, words["took_ms"]))
                case "ended":
                    self.moves += words["how"] == "move"
                    person = self.people.get(person_of.get(event.flow))
                    if person is not None and event.flow in person.stands:
                        person.stands[event.flow].until = event.at
                case "nobody" | "refused":
                    self.nobody += 1
                case "bad":
                    self.bad += 1
                    self.bad_owed += words["answer"] == "neither"

    def count(self) -> None:
        for person in self.people.values():
            kind = self.types[person.type]
            spread(
                self.asked[person.type],
                person.comes - self.day.began,
                person.until - self.day.began,
                kind.priority_weight,
            )
            for stand in person.stands.values():
                spread(
                    self.standing, stand.since - self.day.began, stand.until - self.day.began, 1.0
                )
                for since, until in good(
                    stand,
                    person.until,
                    kind.message_latency_objective_ms,
                    self.experiment.clients.line_ms,
                ):
                    spread(
                        self.served[person.type],
                        since - self.day.began,
                        until - self.day.began,
                        kind.priority_weight,
                    )

    # What comes of it.

    def service(
        self, types: list[str] | None = None, since: int = 0, until: int | None = None
    ) -> float:
        names = types or list(self.types)
        asked = sum(sum(self.asked[name][since:until]) for name in names)
        return sum(sum(self.served[name][since:until]) for name in names) / asked if asked else 1.0

    def worst(self) -> float:
        seconds = len(self.standing) - 1
        return min(
            (
                self.service(since=at, until=at + WINDOW)
                for at in range(max(seconds - WINDOW + 1, 1))
            ),
            default=1.0,
        )

    def course(self) -> list[float]:
        return [self.service(since=at, until=at + 1) for at in range(len(self.standing) - 1)]

    def peaks(self) -> dict[str, dict[str, float]]:
        peaks: dict[str, dict[str, float]] = {}
        for _, name, memory, descriptors, cpu in self.day.samples:
            peak = peaks.setdefault(name, {"memory_mb": 0.0, "descriptors": 0, "cpu_s": 0.0})
            peak["memory_mb"] = max(peak["memory_mb"], round(memory / 2**20, 2))
            peak["descriptors"] = max(peak["descriptors"], descriptors)
            peak["cpu_s"] = max(peak["cpu_s"], round(cpu, 2))
        return peaks

    def summary(self) -> dict:
        setups, messages = merged(self.setups.values()), merged(self.messages.values())
        peaks = self.peaks()
        counters: dict[str, int] = defaultdict(int)
        for counted in self.day.counters.values():
            for name, value in counted.items():
                counters[name] += value
        return {
            "experiment": self.day.experiment,
            "variant": self.day.variant,
            "seed": self.day.seed,
            "void": self.day.void,
            "broken": self.day.broken,
            "breaches": self.day.breaches,
            "service": self.service(),
            "worst_10_s": self.worst(),
            "by_type": {name: self.service([name]) for name in self.types},
            "setup_ms": percentiles(setups),
            "message_ms": percentiles(messages),
            "setup_hdr": setups.encode().decode(),
            "message_hdr": messages.encode().decode(),
            "clients": len(self.people),
            "flows": self.sent,
            "answers": dict(self.answers),
            "connects_a_flow": self.attempts / max(self.sent, 1),
            "moves": self.moves,
            "nobody": self.nobody,
            "probes": counters.get("probes_sent", 0),
            "bad": self.bad,
            "bad_unanswered": self.bad_owed,
            "memory_mb": max((p["memory_mb"] for p in peaks.values()), default=0.0),
            "descriptors": max((p["descriptors"] for p in peaks.values()), default=0),
            "cpu_s": sum(p["cpu_s"] for p in peaks.values()),
            "balancers": peaks,
            "lateness_ms": self.day.lateness_ms,
            "course": [round(v, 4) for v in self.course()],
            "standing": [round(v, 2) for v in self.standing[:-1]],
            "samples": [(s, n, round(m / 2**20, 2), d) for s, n, m, d, _ in self.day.samples],
        }


def spread(into: list[float], since: int, until: int, worth: float) -> None:
    """Adds a stretch of time to the seconds that it covers."""
    at = max(since, 0)
    while at < until:
        second = at // SECOND
        if second >= len(into):
            return
        end = min((second + 1) * SECOND, until)
        into[second] += (end - at) / SECOND * worth
        at = end


def good(stand: Stand, until: int, target_ms: float, line_ms: float) -> list[tuple[int, int]]:
    """The stretches in which it was well served: up to each line that came back in time, and while the next was not
    yet due. A connection on which nothing comes back is served no longer than that."""
    due, stretches, at = int((2 * line_ms + target_ms) * MILLISECOND), [], stand.since
    for when, took in stand.echoes:
        if took <= target_ms and when - at <= due:
            stretches.append((at, min(when, until)))
        at = when
    stretches.append((at, min(at + due, stand.until, until)))
    return [(a, b) for a, b in stretches if a < b]


def merged(histograms) -> HdrHistogram:
    total = histogram()
    for one in histograms:
        total.add(one)
    return total


def percentiles(of: HdrHistogram) -> dict[str, float]:
    if not of.get_total_count():
        return {f"p{p:g}": 0.0 for p in PERCENTILES}
    return {f"p{p:g}": round(of.get_value_at_percentile(p) / 1000, 3) for p in PERCENTILES}
