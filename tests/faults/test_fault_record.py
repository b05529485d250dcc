"""The record of injected faults, compared with the plan."""

import pytest
from fault_helpers import fault_plan

from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.record import Record


def missed(kind: Kind, direction: str, injected: str) -> list[str]:
    """Return the missed faults of a plan whose fault was injected in the direction `injected`."""
    size = {"size": 1} if kind is Kind.GARBLE else {}
    plan = fault_plan({"connection": 1, "kind": kind, "direction": direction, "at": 7, **size})
    record = Record()
    record.add(Fault(1, injected, 7, kind))
    return record.missed_faults(plan, connections=1)


@pytest.mark.parametrize(
    "direction, injected, expected",
    [("up", "up", []), ("up", "down", ["up"]), ("both", "up", ["down"]), ("both", "down", ["up"])],
)
def test_fault_that_was_injected_in_another_direction_alone_is_missed(
    direction, injected, expected
):
    lines = missed(Kind.GARBLE, direction, injected)
    text = "garble at 7 not injected into connection 1: its data did not reach that place ({})"
    assert lines == [text.format(name) for name in expected]


@pytest.mark.parametrize("kind", [Kind.CUT, Kind.TRUNCATE])
def test_fault_that_ends_the_connection_is_missed_in_neither_direction(kind):
    assert missed(kind, "both", "up") == []
