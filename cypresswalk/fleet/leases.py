"""Leases, which limit how long a balancer may act on a version of the agreed state.

No clock: times are nanoseconds of a clock that also runs while the machine is suspended. A balancer
requests a lease. The leader grants it on the current version, once a majority has confirmed that it
is still the leader (`agreement.node.Node.read_index`). The lease runs from the request, by the
holder's clock (Gray and Cheriton, SOSP 1989). The granted version was current at some time after
the request, so a holder acts on an outdated version for at most the length of a lease after a newer
one took effect. The leader counts a lease as lapsed once its span plus the bound on clock drift
have passed since the grant.

Invariants:
    L1: no balancer acts on a lease after its span since the request has passed.
    L2: no balancer acts on an older version than the one that its lease was granted on.
    L3: a lease counts as lapsed only after its holder has stopped acting on it, by any clock within
        the bound on drift.
"""

from collections.abc import Iterable

# Upper bound on the difference in rate of two clocks. Quartz clocks stay under 0.0002, clocks that
# are being slewed under 0.0005.
MAX_CLOCK_DRIFT = 0.02
MAX_OUTSTANDING_REQUESTS = 8


def holder_span(max_contradiction: int) -> int:
    """Return the holder's span (ns) from its request, shortened to allow for a slow clock."""
    return int(max_contradiction / (1 + MAX_CLOCK_DRIFT))


def grantor_span(max_contradiction: int) -> int:
    """Return the leader's span (ns), counted from the grant."""
    return int(max_contradiction * (1 + MAX_CLOCK_DRIFT))


class HeldLease:
    """The lease of a holder, and its outstanding requests."""

    def __init__(self, max_contradiction: int, now: int):
        """Begin without a lease.

        Args:
            max_contradiction: time for which two balancers may act on contradicting versions,
                nanoseconds.
            now: current time, nanoseconds. Request numbers start there, so that they differ from
                those of earlier processes.
        """
        self.span = holder_span(max_contradiction)
        self.last_number = now
        self.granted_number = 0
        # Times of the outstanding requests, by request number.
        self.outstanding: dict[int, int] = {}
        # Time at which the current lease was requested.
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
        """Process a grant; ignore it if its request isn't outstanding or older than the lease's."""
        requested_at = self.outstanding.pop(number, None)
        if requested_at is None:
            return
        if self.requested_at is None or requested_at >= self.requested_at:
            self.requested_at = requested_at
            self.version = max(version, self.version)
            self.granted_number = number

    def valid_until(self, applied_version: int) -> int:
        """Return when the lease ends; 0 without one or if `applied_version` is too old for it."""
        if self.requested_at is None or applied_version < self.version:
            return 0
        return self.requested_at + self.span


class LeaseGrants:
    """The leader's record of the leases that it has granted during its leadership."""

    def __init__(self, max_contradiction: int, now: int):
        """Begin leadership at `now`; both arguments in nanoseconds."""
        self.span = grantor_span(max_contradiction)
        # The previous leader's grants are unknown: no lease counts as lapsed before they all end.
        self.unknown_until = now + self.span
        self.granted_at: dict[str, int] = {}
        # The version that each member acts on, according to its latest request.
        self.applied_versions: dict[str, int] = {}

    def on_version(self, member: str, applied_version: int) -> None:
        """Record which version a member acts on."""
        self.applied_versions[member] = applied_version

    def grant(self, now: int, member: str) -> None:
        """Record that a member was granted a lease."""
        self.granted_at[member] = now

    def lapsed(self, now: int, member: str) -> bool:
        """Return whether the member's lease is certainly over."""
        if now < self.unknown_until:
            return False
        granted_at = self.granted_at.get(member)
        return granted_at is None or now >= granted_at + self.span

    def possibly_outdated(self, now: int, version: int, members: Iterable[str]) -> list[str]:
        """Return the members that may still act on an older version than `version`."""
        return [
            member
            for member in members
            if self.applied_versions.get(member, -1) < version and not self.lapsed(now, member)
        ]
