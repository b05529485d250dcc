"""What whoever leads knows of servers by balancers' words: which are bad, which have been seen ready again, what each has answered. No
I/O, no clock; it begins anew with each leader, and says then that it can't tell.

One balancer's word counts for little: a server can be bad for some alone, and a balancer that is cut off holds all for bad. So half of
those heard lately make a server bad, and more than half of those that act on its return make it seen ready. What nobody can tell, since
most balancers have not spoken, grants nothing."""

from collections.abc import Collection
from dataclasses import dataclass, field

from cypresswalk.fleet.messages import ServerReport
from cypresswalk.rollout.evidence import ServedCounts

BAD = "held for bad by {} of {} balancers"


@dataclass(frozen=True, slots=True)
class Word:
    at: int
    version: int  # that its balancer acted on
    said: ServerReport


@dataclass
class ServerObservations:
    fresh: int  # nanoseconds for which a word counts
    words: dict[str, Word] = field(default_factory=dict)  # by member's id
    counts: dict[str, dict[str, ServedCounts]] = field(
        default_factory=dict
    )  # of each member's latest word
    served: dict[str, ServedCounts] = field(
        default_factory=dict
    )  # by server: all that has been added since this one leads

    def asked(self, now: int, ident: str, version: int, said: ServerReport) -> None:
        self.words[ident] = Word(now, version, said)
        before, self.counts[ident] = (
            self.counts.get(ident),
            {name: ServedCounts(*four) for name, four in said.served.items()},
        )
        if before is None:
            return  # what it had counted before this leader looked is of no one time
        for name, figures in self.counts[ident].items():
            self.served[name] = self.served.get(name, ServedCounts()) + figures.growth_since(
                before.get(name, ServedCounts())
            )

    def keep(self, members: Collection[str]) -> None:
        self.words = {ident: word for ident, word in self.words.items() if ident in members}
        self.counts = {ident: counts for ident, counts in self.counts.items() if ident in members}

    def heard(self, now: int, members: Collection[str]) -> list[Word]:
        return [
            word
            for ident, word in self.words.items()
            if ident in members and now - word.at <= self.fresh
        ]

    def can_tell(self, now: int, members: Collection[str]) -> bool:
        return 2 * len(self.heard(now, members)) > len(members)

    def bad(self, now: int, members: Collection[str]) -> dict[str, str]:
        heard = self.heard(now, members)
        by: dict[str, int] = {}
        for word in heard:
            for name in word.said.bad:
                by[name] = by.get(name, 0) + 1
        return {
            name: BAD.format(count, len(heard))
            for name, count in sorted(by.items())
            if 2 * count >= len(heard)
        }

    def ready_again(
        self, now: int, members: Collection[str], coming: dict[str, int], listed: Collection[str]
    ) -> dict[str, int]:
        """Of those that came back in a version, those that most balancers, in words said since they act on it, hold for ready; and those
        that are no more."""
        heard, found = self.heard(now, members), {}
        for name, version in coming.items():
            ready = sum(word.version >= version and name not in word.said.bad for word in heard)
            if name not in listed or 2 * ready > len(members):
                found[name] = version
        return found

    def standing(self, now: int, members: Collection[str], name: str) -> int | None:
        """Flows there; None where one of those that act is not heard: a new leader, too, must not take silence for none."""
        heard = self.heard(now, members)
        return (
            sum(word.said.standing.get(name, 0) for word in heard)
            if len(heard) == len(members)
            else None
        )
