"""When the leader sees that a balancer that was out is back."""

from cypresswalk.agreement.messages import Member as One
from cypresswalk.fleet.unavailability import UnavailabilityTracker


def test_a_slot_is_free_only_after_a_report_sent_once_its_grant_has_expired():
    second, granted, names = 10**9, ("n1 (call)", 7, "drained"), {"n0", "n1"}
    places = UnavailabilityTracker(5 * second)

    def tend(now, away=granted, begun=(), waiting=()):
        out = places.unavailable(
            now, [One("n0#1", True, "", ""), One("n1#1", True, "", "")], [], [], []
        )
        return places.next_ended(
            now, {"n1": away} if away else {}, begun, waiting, set(out) - {"n0"}, names
        )

    assert set(places.unavailable(0, [One("n1#1", True, "", "")], [], [], [])) == {
        "n1"
    }  # a new leader knows nobody
    assert tend(0) is None
    places.on_lease_granted(second, "n1#1", 10)
    places.on_readiness(
        4 * second, "n1#1", True, 10
    )  # said before it went out, four seconds on the way
    assert tend(4 * second) is None
    places.on_lease_granted(4 * second, "n1#1", 11)
    places.on_readiness(5 * second, "n1#1", False, 11)  # it did go
    assert tend(5 * second) is None
    places.on_lease_granted(6 * second, "n1#1", 12)
    places.on_readiness(7 * second, "n1#1", True, 12)
    assert tend(7 * second) == ("n1", granted)
    again = (
        "n1 (call)",
        8,
        "drained",
    )  # it asked anew meanwhile: another grant, nothing known of it
    assert tend(8 * second, again) is None
    # A release: the old process is ready all the while, and its words say nothing of the new one.
    places = UnavailabilityTracker(5 * second)
    assert tend(0, waiting={"n1"}) is None and tend(9 * second, begun={"n1"}) is None
    places.on_lease_granted(9 * second, "n1#1", 20)
    places.on_readiness(9 * second, "n1#1", True, 20)
    assert tend(10 * second) is None
    places.on_readiness(10 * second, "n1#1", True, 20)
    assert tend(10 * second) is None
    places.on_lease_granted(10 * second, "n1#1", 21)
    places.on_readiness(10 * second, "n1#1", True, 21)
    assert tend(10 * second) == ("n1", granted)
    # Its machine is gone: another takes its name, or it leaves.
    places = UnavailabilityTracker(5 * second)
    names.discard("n1")
    assert tend(0) == ("n1", granted)
