"""Who is out, as whoever leads sees it, and when a place that was granted is free again. No I/O, no clock; it begins anew with each
leader, so what it does not know yet counts as out.

A place is free once the balancer has said that it is ready, and said so after it could no longer go out by that grant. A word may
have been on its way for long: it counts as said after a moment where it names a lease that was given after that moment."""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from cypresswalk.agreement.messages import Member as One

SECOND = 1_000_000_000
GO = 2 * SECOND  # within which a balancer that may go out goes, or not at all
USED = 3 * SECOND  # after which it has, by any clock within the bound on drift
UNUSED = 10 * SECOND  # after which an agent that has not begun gives its turn up
UNKNOWN, UNHEARD, UNREADY, LAPSED = (
    "has not said that it is ready",
    "not heard",
    "not ready",
    "not heard, its lease is over",
)
CERTAINLY_OUT = (UNREADY, LAPSED)  # the others may be in all the same

Granted = tuple[str, int, str]  # by whom, when, why: as agreed


@dataclass(slots=True)
class Place:
    """Of one balancer, by one grant."""

    granted: Granted
    settled: int  # when it can no longer go out by it
    leases: deque = field(default_factory=lambda: deque(maxlen=16))  # numbers of those given since
    back: bool = False  # it was ready then
    begun: bool = False


class UnavailabilityTracker:
    def __init__(self, stated: int):
        self.stated = stated
        self.said: dict[
            str, tuple[bool | None, int]
        ] = {}  # by id: whether it is ready, as it last said, and when
        self.places: dict[str, Place] = {}  # by name

    # What balancers say.

    def asked(self, now: int, ident: str, ready: bool | None, lease: int) -> None:
        """`lease`: the latest that it knew of when it said so."""
        self.said[ident] = ready, now
        place = self.places.get(name_of(ident))
        if place is not None and lease in place.leases:
            place.back = bool(ready)

    def leased(self, now: int, ident: str, number: int) -> None:
        place = self.places.get(name_of(ident))
        if place is not None and now >= place.settled:
            place.leases.append(number)

    # What follows.

    def seen_out(
        self,
        now: int,
        members: Iterable[One],
        left: Collection[str],
        unheard: Collection[str],
        lapsed: Collection[str],
    ) -> dict[str, str]:
        """Members that are out whatever anybody granted, with why. What nobody can tell counts as out. `unheard`, `lapsed`: by id."""
        out = {}
        for m in members:
            if m.name in left:
                continue
            ready, at = self.said.get(m.id, (None, 0))
            if m.id in unheard:
                out[m.name] = LAPSED if m.id in lapsed else UNHEARD
            elif ready is None or now - at > self.stated:
                out[m.name] = UNKNOWN
            elif not ready:
                out[m.name] = UNREADY
            else:
                out.pop(m.name, None)  # a later incarnation of one that was lost
        return out

    def tend(
        self,
        now: int,
        away: dict[str, Granted],
        begun: Collection[str],
        waiting: Collection[str],
        out: Collection[str],
        there: Collection[str],
    ) -> tuple[str, Granted] | None:
        """The next whose place is free, and the grant that ends. `begun`: those whose agents work on them, two processes side by side,
        ready all the while; `waiting`: those whose agents have not begun; `there`: names of members."""
        self.places = {
            name: place for name, place in self.places.items() if away.get(name) == place.granted
        }
        for name, granted in away.items():
            place = self.places.get(name)
            if place is None:
                place = self.places[name] = Place(
                    granted, now + (UNUSED if name in waiting else USED)
                )
            if name in begun or place.begun:
                # What its old process said, and was told until it ended, says nothing of the new one.
                place.settled, place.back, place.begun = now, False, name in begun
                place.leases.clear()
            if name not in there or place.back and name not in out:
                return name, granted
        return None


def name_of(ident: str) -> str:
    return ident.partition("#")[0]
