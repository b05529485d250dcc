"""Leases: who may act on which version until when.

No clock: times are nanoseconds of a clock that goes on while the machine sleeps. A balancer
requests; the leader, once a majority has shown that it still leads (`agreement.Node.read`), grants
with the version in force. The lease runs from the request, by the holder's clock (Gray and
Cheriton, SOSP 1989): the granted version was in force at some moment after that, so a holder acts
on an outdated version for no longer than a lease after the newer one came into force. For the
leader a lease has lapsed once its span and the bound on clock drift have passed since it was
granted.

Invariants:
    L1: nobody acts later than the span after its request.
    L2: nobody acts on an older version than its lease was granted on.
    L3: a balancer counts as lapsed only after it has stopped to act, by any clock within the bound.
"""

from collections.abc import Iterable

# Two clocks differ in pace by no more: quartz stays under 0.0002, a clock being slewed under
# 0.0005.
MAX_CLOCK_DRIFT = 0.02
MAX_OUTSTANDING_REQUESTS = 8


def holder_span(max_contradiction: int) -> int:
    """Return the nanoseconds that a holder counts: a slow clock must not extend its lease."""
    return int(max_contradiction / (1 + MAX_CLOCK_DRIFT))


def grantor_span(max_contradiction: int) -> int:
    """Return the nanoseconds that the leader waits from its grant on."""
    return int(max_contradiction * (1 + MAX_CLOCK_DRIFT))


class HeldLease:
    """A holder's lease and its outstanding requests."""

    def __init__(self, max_contradiction: int, now: int):
        """Hold nothing yet.

        Args:
            max_contradiction: nanoseconds for which two may act on contradicting versions.
            now: the clock, in nanoseconds; request numbers begin there, so that none is one that an
                earlier process used.
        """
        self.span = holder_span(max_contradiction)
        self.last_number = now
        self.granted_number = 0
        # Number of a request: when it was made.
        self.outstanding: dict[int, int] = {}
        # When the lease that is held was requested.
        self.requested_at: int | None = None
        self.version = 0

    def request(self, now: int) -> int:
        """Return the number of a new request."""
        self.last_number += 1
        self.outstanding[self.last_number] = now
        while len(self.outstanding) > MAX_OUTSTANDING_REQUESTS:
            del self.outstanding[min(self.outstanding)]
        return self.last_number

    def on_grant(self, number: int, version: int) -> None:
        """Take over a grant, unless it answers no outstanding request, or an older one."""
        requested_at = self.outstanding.pop(number, None)
        if requested_at is None:
            return
        if self.requested_at is None or requested_at >= self.requested_at:
            self.requested_at = requested_at
            self.version = max(version, self.version)
            self.granted_number = number

    def valid_until(self, acts_on: int) -> int:
        """Return when the lease ends; 0 without one, or for one on a later version."""
        if self.requested_at is None or acts_on < self.version:
            return 0
        return self.requested_at + self.span


class LeaseGrants:
    """The leader's record of granted leases, for its time of leading."""

    def __init__(self, max_contradiction: int, now: int):
        """Begin to lead at `now`; both in nanoseconds."""
        self.span = grantor_span(max_contradiction)
        # The previous leader's grants are unknown: nobody counts as lapsed before all have run out.
        self.unknown_until = now + self.span
        self.granted_at: dict[str, int] = {}
        # The version that each member acts on, by its latest request.
        self.acts_on: dict[str, int] = {}

    def on_version(self, member: str, acts_on: int) -> None:
        """Note which version a member acts on."""
        self.acts_on[member] = acts_on

    def grant(self, now: int, member: str) -> None:
        """Note that a member was granted a lease."""
        self.granted_at[member] = now

    def lapsed(self, now: int, member: str) -> bool:
        """Whether the member's lease is certainly over."""
        if now < self.unknown_until:
            return False
        granted_at = self.granted_at.get(member)
        return granted_at is None or now >= granted_at + self.span

    def may_act_below(self, now: int, version: int, members: Iterable[str]) -> list[str]:
        """Return the members that may still act on an older version than that."""
        return [
            member
            for member in members
            if self.acts_on.get(member, -1) < version and not self.lapsed(now, member)
        ]
