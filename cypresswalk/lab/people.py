"""The clients of the lab: who comes when, and what each does next. No I/O, no clock; all chance comes from the seed.

What a client is, and when it comes, is drawn from the seed and its number alone: so the same people come on a day to
every variant, however each is served."""

from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

from cypresswalk.lab.experiment import Clients, Experiment, ServiceType
from cypresswalk.lab.world import MILLISECOND, SECOND

BAD = ("silent", "garbage", "half a line", "flood", "unknown type", "endless line", "twice")


@dataclass(slots=True)
class Person:
    """One client, from the moment it comes until it has had its time or has given up."""

    number: int
    comes: int  # since the day's start
    type: ServiceType
    customer: str
    group: str
    zone: str
    life: int  # how long it wants to be served, all connections together
    load: float
    leaves: int  # 0: stays; else it goes so long after its first line
    ignores: bool
    chance: Random = field(repr=False)
    tries: int = 0  # since it last stood
    connections: int = 0  # begun so far: the number of its next id

    def ident(self) -> str:
        self.connections += 1
        return f"p{self.number}.{self.connections}"

    def after_reject(self, habits: Clients, advice: int | None) -> int | None:
        """How long until it tries again; None: it gives up. Advice goes before habit, for those who keep to it."""
        self.tries += 1
        if habits.after_rejection == "none" or self.tries > habits.retries:
            return None
        if advice is not None and not self.ignores:
            return advice
        return 0 if habits.after_rejection == "at once" else span(self.chance, habits.wait_ms)

    def after_break(self, habits: Clients) -> int | None:
        self.tries = 0
        return span(self.chance, habits.reconnect_ms) if habits.reconnect else None


def span(chance: Random, milliseconds: tuple[float, float]) -> int:
    return int(chance.uniform(*milliseconds) * MILLISECOND)


class People:
    def __init__(self, experiment: Experiment, seed: int):
        self.experiment, self.seed = experiment, seed
        self.types, self.type_sums = (
            experiment.types,
            list(accumulate(t.share for t in experiment.types)),
        )
        self.customers = experiment.tenants
        self.customer_sums = list(accumulate(c.share for c in experiment.tenants))

    def person(self, number: int, comes: int) -> Person:
        chance, habits = Random(f"{self.seed}/person/{number}"), self.experiment.clients
        kind = self.types[bisect(self.type_sums, chance.random() * self.type_sums[-1])]
        customer = self.customers[
            bisect(self.customer_sums, chance.random() * self.customer_sums[-1])
        ].name
        group = f"{customer}-{chance.randrange(habits.groups)}" if habits.groups else ""
        zone = chance.choice([table.zone for table in self.experiment.balancer_groups()])
        life = int(chance.uniform(*kind.lifetime_s) * SECOND)
        load = chance.uniform(*kind.load)
        leaves = (
            int(chance.random() * kind.setup_latency_objective_ms * MILLISECOND) + 1
            if chance.random() < habits.leave
            else 0
        )
        return Person(
            number,
            comes,
            kind,
            customer,
            group,
            zone,
            life,
            load,
            leaves,
            chance.random() < habits.ignore_retry_after,
            chance,
        )

    def arrivals(self) -> Iterator[int]:
        """When clients come: a Poisson process whose rate follows the course (thinned, Lewis and Shedler 1979)."""
        chance, load = Random(f"{self.seed}/arrivals"), self.experiment.load
        top, at = max(rate for _, rate in load.course), 0.0
        while top:
            at += chance.expovariate(top)
            if at >= self.experiment.seconds:
                return
            if chance.random() * top < load.rate(at):
                yield int(at * SECOND)

    def all(self) -> list[Person]:
        """Everyone of the day, the bursts' clients with their own moments, in the order in which they come."""
        moments = list(self.arrivals())
        for trouble in self.experiment.faults:
            if trouble.kind == "burst":
                moments += [int(trouble.at_s * SECOND)] * int(trouble.amount)
        # Numbers go by the plain course first: a burst in one variant of a file changes nobody else.
        return sorted(
            (self.person(i, at) for i, at in enumerate(moments)), key=lambda p: (p.comes, p.number)
        )

    def bad(self) -> list[tuple[int, str, str]]:
        """Bad clients: when, of what sort, in which zone."""
        chance, rate = Random(f"{self.seed}/bad"), self.experiment.clients.bad_per_s
        zones = [table.zone for table in self.experiment.balancer_groups()]
        at, found = 0.0, []
        while rate and (at := at + chance.expovariate(rate)) < self.experiment.seconds:
            found.append((int(at * SECOND), chance.choice(BAD), chance.choice(zones)))
        return found
