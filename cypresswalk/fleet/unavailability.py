"""Which balancers are out, as the leader sees it, and when a leave grant has ended.

No I/O, no clock. It begins empty with each leader, so what is not known yet counts as out.

A grant has ended once its balancer has said that it is ready, and said so after it could no longer
go out by that grant. Requests may be delayed for long: one counts as made after a moment where it
names a lease that was granted after that moment.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from cypresswalk.agreement.messages import Member

SECOND = 1_000_000_000
LEAVE_WINDOW = 2 * SECOND  # a balancer that may go out goes within it, or not at all
LEAVE_WINDOW_OVER = 3 * SECOND  # after which it has, by any clock within the bound on drift
TURN_UNUSED = 10 * SECOND  # after which an agent that has not begun gives its turn up
MAX_REMEMBERED_LEASES = 16  # per leave grant

UNKNOWN = "has not said that it is ready"
UNHEARD = "not heard"
UNREADY = "not ready"
LAPSED = "not heard, its lease is over"
CERTAINLY_OUT = (UNREADY, LAPSED)  # one that is out for another reason may be in all the same

LeaveGrant = tuple[str, int, str]  # by whom, when, why: as agreed


@dataclass(slots=True)
class TrackedLeave:
    """What is known of one balancer's leave grant.

    Attributes:
        grant: as agreed.
        settled_at: when the balancer can no longer go out by it.
        leases: numbers of leases granted since then.
        ready_since: whether the balancer was ready after `settled_at`.
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
        """Begin empty; what a balancer said counts for `max_contradiction` nanoseconds."""
        self.max_contradiction = max_contradiction
        # By member's id: whether it is ready, by its latest lease request, and when that came.
        self.readiness: dict[str, tuple[bool | None, int]] = {}
        # By name.
        self.leaves: dict[str, TrackedLeave] = {}

    def on_readiness(self, now: int, member: str, ready: bool | None, last_lease: int) -> None:
        """Note a member's readiness; `last_lease` is the latest lease that it knew of then."""
        self.readiness[member] = ready, now
        leave = self.leaves.get(name_of(member))
        if leave is not None and last_lease in leave.leases:
            leave.ready_since = bool(ready)

    def on_lease_granted(self, now: int, member: str, number: int) -> None:
        """Note a lease that was granted to a member."""
        leave = self.leaves.get(name_of(member))
        if leave is not None and now >= leave.settled_at:
            leave.leases.append(number)

    def unavailable(
        self,
        now: int,
        members: Iterable[Member],
        departed: Collection[str],
        unheard: Collection[str],
        lapsed: Collection[str],
    ) -> dict[str, str]:
        """Return the names of members that are out for whatever cause, with the reason.

        Args:
            now: nanoseconds.
            members: all members; a later incarnation of a name overrides an earlier one.
            departed: names that have left the fleet.
            unheard: ids of members that are not heard.
            lapsed: ids among them whose leases are over.
        """
        reasons: dict[str, str] = {}
        for member in members:
            if member.name in departed:
                continue
            ready, said_at = self.readiness.get(member.id, (None, 0))
            if member.id in unheard:
                reasons[member.name] = LAPSED if member.id in lapsed else UNHEARD
            elif ready is None or now - said_at > self.max_contradiction:
                reasons[member.name] = UNKNOWN
            elif not ready:
                reasons[member.name] = UNREADY
            else:
                reasons.pop(member.name, None)
        return reasons

    def next_ended(
        self,
        now: int,
        grants: dict[str, LeaveGrant],
        changing: Collection[str],
        waiting: Collection[str],
        unavailable: Collection[str],
        present: Collection[str],
    ) -> tuple[str, LeaveGrant] | None:
        """Return the next balancer whose leave grant has ended, with that grant.

        Args: now: nanoseconds. grants: all leave grants, by name. changing: names whose agents are
        at work; two processes run side by side then, ready all the while. waiting: names whose
        agents have not begun. unavailable: names of members that are out. present: names of
        members.
        """
        self.leaves = {
            name: leave for name, leave in self.leaves.items() if grants.get(name) == leave.grant
        }
        for name, grant in grants.items():
            leave = self.leaves.get(name)
            if leave is None:
                window = TURN_UNUSED if name in waiting else LEAVE_WINDOW_OVER
                leave = self.leaves[name] = TrackedLeave(grant, now + window)
            if name in changing or leave.changing:
                # What the old process said and was granted until it ended says nothing of the new
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
