"""The judges of the cluster lab, held against histories that are wrong."""

from cypresswalk.lab.cluster import judges
from cypresswalk.lab.cluster.judges import Down, Flow, Op, Span, halted, out_at_once
from cypresswalk.lab.cluster.virtual import SECOND


def test_judges_find_what_is_wrong_in_a_history():
    offer = Op("offer", 0, 10, "yes", 1, 77, 2)
    assert not judges.linearizable(
        [offer, Op("show", 5, 20, "yes", 0, 77, 2), Op("show", 1, 4, "yes", 0, 0, 1)], (1, 0)
    )
    assert judges.linearizable(
        [offer, Op("show", 11, 20, "yes", 0, 0, 1)], (1, 0)
    )  # an old value after a yes
    assert judges.linearizable(
        [offer, Op("offer", 11, 20, "yes", 1, 78, 3)], (1, 0)
    )  # two on one base
    unsure = Op("offer", 0, 10, "unsure", 1, 77, 0)
    assert not judges.linearizable(
        [unsure, Op("show", 30, 40, "yes", 0, 77, 5)], (1, 0)
    )  # it came into force after all
    assert not judges.linearizable(
        [unsure, Op("show", 30, 40, "yes", 0, 0, 1)], (1, 0)
    )  # or did not
    down = [Down("s0", 0, 10 * SECOND, 20 * SECOND)]
    assert judges.contradiction(
        down, [(14 * SECOND, "s0", "n1"), (30 * SECOND, "s1", "n1")], 5 * SECOND, 0
    ) == (4 * SECOND, [])
    assert judges.contradiction(down, [(16 * SECOND, "s0", "n1")], 5 * SECOND, 0)[1]
    assert len(judges.contradiction(down, [(21 * SECOND, "s0", "n1")], 60 * SECOND, 0)[1]) == 1
    assert judges.forgotten(down, set()) and not judges.forgotten(down, {"s0"})
    flow = Flow("f", "repeatable", 0, SECOND, "end", SECOND // 2, "n0")
    assert judges.answers([flow], {}, 0) and not judges.answers(
        [flow], {"n0": [(SECOND // 3, SECOND // 2)]}, 0
    )
    assert judges.answers([Flow("f", "repeatable", 0, SECOND, "UP", 3 * SECOND, "n0")], {}, 0)
    assert judges.ran_twice(
        [("f", "once-only", "a"), ("f", "once-only", "b")]
    ) and not judges.ran_twice([("f", "once-only", "a")])


def test_a_history_with_too_many_out_or_an_ignored_halt_is_detected():
    s = 10**9
    own = [Span("n0", 10 * s, 20 * s, "changed"), Span("n1", 15 * s, 25 * s, "changed")]
    assert out_at_once(own, [], [], 2, [], 0) == (2, 2, [])
    assert out_at_once(own, [], [], 1, [], 0)[2] == [
        "n0, n1 are out at once by the program's doing, 1 may be"
    ]
    lost, went = [Span("n2", 2 * s, 40 * s, "lost")], [(18 * s, "n1", "release")]
    assert out_at_once(own[1:], lost, went, 2, [], 0) == (1, 2, [])
    assert (
        "n1 went out (release) while n2 were out or lost"
        in out_at_once(own[1:], lost, went, 1, [], 0)[2][0]
    )
    assert (
        out_at_once(own[1:], [Span("n2", 14 * s, 40 * s, "lost")], went, 1, [], 0)[2] == []
    )  # nobody could know yet
    # On the way back one that fell over is healed by it.
    assert (
        out_at_once(own[1:], [*lost, Span("n1", 3 * s, 40 * s, "lost")], went, 1, [5 * s], 0)[2]
        == []
    )
    assert halted(went, [(15 * s, 16 * s)], [], [], 2 * s) == (2 * s, [])
    assert halted(went, [(15 * s, 15 * s)], [], [], 2 * s)[1] == [
        "n1 went out (release) 3.00 s after a yes to a halt"
    ]
    assert halted(went, [(15 * s, 15 * s)], [16 * s], [], 2 * s)[1] == []  # resumed meanwhile
    assert halted(went, [(15 * s, 15 * s)], [], [16 * s], 2 * s)[1] == []  # the way back
