"""The leader's record of balancers that are out, and of when leave grants have ended.

No I/O, no clock. It starts empty with each leader, and a balancer of unknown state counts as out.

A leave grant has ended when its balancer has reported that it is ready, and made that report after
the grant could no longer take it out. Since requests may be delayed for long, a request is known to
be made after a moment only if it names a lease that was granted after that moment.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from cypresswalk.agreement.messages import Member

SECOND = 1_000_000_000
LEAVE_WINDOW = 2 * SECOND  # a balancer with a leave grant goes out within this time or not at all
LEAVE_WINDOW_WITH_DRIFT = 3 * SECOND  # the same by any clock within the bound on drift
UNUSED_TURN_TIMEOUT = 10 * SECOND  # after which an agent that has not begun gives up its turn
MAX_REMEMBERED_LEASES = 16  # per leave grant

UNKNOWN = "has not said that it is ready"
UNHEARD = "not heard"
UNREADY = "not ready"
LAPSED = "not heard, its lease is over"
CERTAINLY_OUT = (UNREADY, LAPSED)  # with the other reasons a balancer may still be in

LeaveGrant = tuple[str, int, str]  # author, time and reason, as agreed


@dataclass(slots=True)
class TrackedLeave:
    """The leader's observations of one balancer's leave grant.

    Attributes:
        grant: the grant, as agreed.
        settled_at: time from which the balancer can no longer go out by the grant.
        leases: numbers of leases granted to it since then.
        ready_since: whether it has reported that it is ready after `settled_at`.
        changing: whether its agent is changing it.
    """

    grant: LeaveGrant
    settled_at: int
    leases: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_REMEMBERED_LEASES))
    ready_since: bool = False
    changing: bool = False


class UnavailabilityTracker:
    """Readiness of all members, and their leave grants."""

    def __init__(self, max_contradiction: int):
        """Start empty; a balancer's report counts for `max_contradiction` nanoseconds."""
        self.max_contradiction = max_contradiction
        # By member's id: readiness in its latest lease request, and when that was received.
        self.readiness: dict[str, tuple[bool | None, int]] = {}
        # By balancer's name.
        self.leaves: dict[str, TrackedLeave] = {}

    def on_readiness(self, now: int, member: str, ready: bool | None, last_lease: int) -> None:
        """Store a member's readiness; `last_lease` is the latest lease that it then knew of."""
        self.readiness[member] = ready, now
        leave = self.leaves.get(name_of(member))
        if leave is not None and last_lease in leave.leases:
            leave.ready_since = bool(ready)

    def on_lease_granted(self, now: int, member: str, number: int) -> None:
        """Store the number of a lease that was granted to a member."""
        leave = self.leaves.get(name_of(member))
        if leave is not None and now >= leave.settled_at:
            leave.leases.append(number)

    def unavailable(
        self,
        now: int,
        members: Iterable[Member],
        departed: Collection[str],
        unreachable: Collection[str],
        lapsed: Collection[str],
    ) -> dict[str, str]:
        """Return the names of members that are out, with the reason.

        Args:
            now: nanoseconds.
            members: all members; a later incarnation of a name overrides an earlier one.
            departed: names of members that have left the fleet.
            unreachable: ids of members without a recent message.
            lapsed: ids among them whose leases are over.
        """
        reasons: dict[str, str] = {}
        for member in members:
            if member.name in departed:
                continue
            ready, reported_at = self.readiness.get(member.id, (None, 0))
            if member.id in unreachable:
                reasons[member.name] = LAPSED if member.id in lapsed else UNHEARD
            elif ready is None or now - reported_at > self.max_contradiction:
                reasons[member.name] = UNKNOWN
            elif not ready:
                reasons[member.name] = UNREADY
            else:
                reasons.pop(member.name, None)
        return reasons

    def next_ended_grant(
        self,
        now: int,
        grants: dict[str, LeaveGrant],
        changing: Collection[str],
        waiting: Collection[str],
        unavailable: Collection[str],
        present: Collection[str],
    ) -> tuple[str, LeaveGrant] | None:
        """Return the next balancer whose leave grant has ended, with that grant.

        Args:
            now: nanoseconds.
            grants: all leave grants, by balancer's name.
            changing: names of balancers that their agents are changing; meanwhile an old and a new
                process run side by side, and at least one is always ready.
            waiting: names of balancers whose agents have not begun.
            unavailable: names of members that are out.
            present: names of all members.
        """
        self.leaves = {
            name: leave for name, leave in self.leaves.items() if grants.get(name) == leave.grant
        }
        for name, grant in grants.items():
            leave = self.leaves.get(name)
            if leave is None:
                window = UNUSED_TURN_TIMEOUT if name in waiting else LEAVE_WINDOW_WITH_DRIFT
                leave = self.leaves[name] = TrackedLeave(grant, now + window)
            if name in changing or leave.changing:
                # Reports and leases of the old process, until its end, tell nothing about the new
                # one.
                leave.settled_at = now
                leave.ready_since = False
                leave.changing = name in changing
                leave.leases.clear()
            if name not in present or leave.ready_since and name not in unavailable:
                return name, grant
        return None


def name_of(member_id: str) -> str:
    """Return the name in a member's id, which is name#incarnation."""
    return member_id.partition("#")[0]
