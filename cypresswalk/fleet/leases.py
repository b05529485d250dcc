"""Who may act on which version until when. No clock: times are nanoseconds of a clock that goes on while the machine sleeps.

A balancer asks; the leader, once a majority has shown that it still leads (Node.read), answers with the version in force. The
lease runs from when it was asked for, by the asker's clock (Gray and Cheriton, SOSP 1989): the version granted was in force at
some moment after that, so whoever acts on an older one than the newest does so for no longer than a lease after the newer came
into force. For the giver a lease has lapsed once its span and the bound on drift have passed since it was granted.

Invariants: L1 nobody acts later than `span` after it asked; L2 nobody acts on less than it was granted on; L3 who is told that a
balancer has lapsed is told so only after it has stopped to act, by whatever clock within the bound."""

DRIFT = 0.02  # two clocks differ in pace by no more: quartz stays under 0.0002, a clock being slewed under 0.0005


def held_for(stated: int) -> int:
    """What a holder counts, so that a slow clock does not hold it longer than stated."""
    return int(stated / (1 + DRIFT))


def lapses_after(stated: int) -> int:
    """What a giver waits from its grant on."""
    return int(stated * (1 + DRIFT))


class HeldLease:
    """At the holder."""

    def __init__(self, stated: int, now: int):
        self.span = held_for(stated)
        # No number that a process before this one used: what names one says when it was said (fleet/places.py).
        self.number = now
        self.latest = 0  # number of the latest granted
        self.out: dict[int, int] = {}  # number of an ask: when it was asked
        self.asked_at: int | None = None  # of the latest granted
        self.version = 0  # what it was granted on

    def ask(self, now: int) -> int:
        self.number += 1
        self.out[self.number] = now
        while len(self.out) > 8:
            del self.out[min(self.out)]
        return self.number

    def granted(self, number: int, version: int) -> None:
        asked = self.out.pop(number, None)
        if asked is not None and (self.asked_at is None or asked >= self.asked_at):
            self.asked_at, self.version, self.latest = asked, max(version, self.version), number

    def until(self, acts_on: int) -> int:
        """0 where it holds none, or one on a later version than it has."""
        return (
            self.asked_at + self.span
            if self.asked_at is not None and acts_on >= self.version
            else 0
        )


class LeaseGrants:
    """At the leader, for its time of leading."""

    def __init__(self, stated: int, now: int):
        self.span = lapses_after(stated)
        # What the leader before gave is not known: nobody counts as lapsed before all of it has run out.
        self.unknown_until = now + self.span
        self.granted_at: dict[str, int] = {}
        self.acts_on: dict[str, int] = {}  # as each last said

    def said(self, member: str, acts_on: int) -> None:
        self.acts_on[member] = acts_on

    def grant(self, now: int, member: str) -> None:
        self.granted_at[member] = now

    def lapsed(self, now: int, member: str) -> bool:
        return (
            now >= self.unknown_until
            and now >= self.granted_at.get(member, now - self.span) + self.span
        )

    def may_act_below(self, now: int, version: int, members: list[str]) -> list[str]:
        """Those that may act still on an older version than that."""
        return [m for m in members if self.acts_on.get(m, -1) < version and not self.lapsed(now, m)]
