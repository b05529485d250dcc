"""The checker on observations written by hand, and on wrong balancers that are played by the lab."""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import pytest
from helpers import played

from cypresswalk import toml
from cypresswalk.lab.checker import check
from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation, load, save
from cypresswalk.lab.rules import Rules, ServerRule, TypeRule
from cypresswalk.lab.units import SECOND

MS = 1_000_000
RULES = Rules(
    {
        "view": TypeRule("repeatable", "all", 0),
        "book": TypeRule("once-only", "all", 0),
        "note": TypeRule("referenced", "zone", 300 * MS),
    },
    {
        "s0": ServerRule("a", 0, 40.0, 0.2, 20 * SECOND),
        "s1": ServerRule("a", 1, 40.0, 0.2, 20 * SECOND),
        "s2": ServerRule("b", 0, 40.0, 0.2, 20 * SECOND),
    },
    3,
    1000 * MS,
    2.0,
    2 * SECOND,
    0.1,
)


def sent(at, kind="view", flow="f", who="b0"):
    return Observation(at * MS, "sent", flow, who, {"type": kind, "wait_ms": 1000, "person": 1})


def answer(at, kind="up", line="UP r1", flow="f"):
    return Observation(at * MS, "answer", flow, "b0", {"kind": kind, "line": line})


def attempt(at, number=1, server="s0", flow="f", load=1.0, balancer="b0"):
    return Observation(
        at * MS, "attempt", flow, server, {"balancer": balancer, "number": number, "load": load}
    )


def reply(at, kind="up", number=1, server="s0", flow="f"):
    return Observation(
        at * MS, "reply", flow, server, {"number": number, "kind": kind, "receipt": f"UP r{number}"}
    )


def let_go(at, number=1):
    return Observation(at * MS, "let_go", "f", "s0", {"number": number})


def lines(side, said, heard, at=900):
    return Observation(
        at * MS, "lines", "f", "b0", {"side": side, "said": said, "heard": heard, "number": 1}
    )


def ended(at, how):
    return Observation(at * MS, "ended", "f", "b0", {"how": how})


def told(at, life, server="s0", version=0):
    return Observation(
        at * MS, "told", "", "b0", {"server": server, "life": life, "version": version}
    )


def down(at, who="b0", what="balancer_down"):
    return Observation(at * MS, what, "", who)


GOOD = [sent(0), attempt(5), reply(10), answer(12)]


@pytest.mark.parametrize(
    "events",
    [
        GOOD,
        [
            sent(0),
            attempt(5),
            reply(9, "busy"),
            attempt(12, 2, "s1"),
            reply(15, "up", 2, "s1"),
            answer(18, line="UP r2"),
        ],
        [
            sent(0),
            attempt(5),
            let_go(400),
            attempt(402, 2, "s1"),
            reply(410, "up", 2, "s1"),
            answer(415, line="UP r2"),
        ],
        [
            sent(0),
            attempt(5),
            attempt(30, 2, "s1"),
            let_go(50),
            reply(60, "up", 2, "s1"),
            answer(65, line="UP r2"),
        ],  # read late
        [
            sent(0),
            attempt(5),
            down(8, "s0", "server_down"),
            attempt(12, 2, "s1"),
            reply(70, "up", 2, "s1"),
            answer(75, line="UP r2"),
        ],  # the server died in the middle of the set-up
        [sent(0, "book"), attempt(5), reply(9, "error"), answer(12, "failed", "ERR")],
        [sent(0, "book"), attempt(5), reply(9, "busy"), answer(12, "busy", "BUSY")],
        [
            sent(0, "note"),
            attempt(5),
            let_go(90),
            attempt(99, 2, "s1"),
            reply(110, "up", 2),
            answer(120, line="UP r2"),
        ],
        [sent(0), down(500)],  # the balancer died with it
        [sent(0), ended(30, "reset"), down(31)],
        [sent(0), Observation(400 * MS, "left", "f", "b0")],
        [sent(0), Observation(700 * MS, "day_ended")],
        GOOD
        + [
            lines("client", ["a", "b"], ["a"]),
            lines("server", ["a"], ["a", "b"]),
            ended(900, "own"),
        ],
        GOOD
        + [
            lines("client", ["a", "b"], ["a"]),
            lines("server", ["a", "b"], ["a"]),
            ended(900, "move"),
        ],
        GOOD + [down(850, "s0", "server_down"), ended(870, "reset")],
        [
            told(0, "terminating"),
            sent(900),
            attempt(1040),
            reply(1042),
            answer(1044),
        ],  # within the grace
        [
            told(0, "terminating"),
            told(1500, "in_service"),
            sent(1900),
            attempt(1940),
            reply(1942),
            answer(1944),
        ],
        [Observation(0, "said_again", "f", "b1"), *GOOD, attempt(14, 9, "s1", balancer="b1")],
    ],
)  # a bad client's copy elsewhere
def test_histories_that_the_rules_allow_pass(events):
    assert [str(b) for b in check(events, RULES)] == []


@pytest.mark.parametrize(
    "rule, said, events",
    [
        ("one answer", "no final answer in time", [sent(0), attempt(5)]),
        ("one answer", "ended (end) with no answer", [sent(0), ended(40, "end")]),
        (
            "one answer",
            "a second final answer",
            [sent(0), answer(5, "busy", "BUSY"), answer(6, "failed", "ERR")],
        ),
        ("one answer", "answered 60 ms after", [sent(0), attempt(5), reply(1050), answer(1060)]),
        ("one answer", "after its final answer", [sent(0), answer(5, "busy", "BUSY"), attempt(80)]),
        (
            "one answer",
            "what no server gave",
            [sent(0), attempt(5), reply(10), answer(12, line="UP r2")],
        ),
        ("one answer", "what no client had sent", [attempt(5, flow="x")]),
        (
            "one answer",
            "after its final answer",
            [Observation(0, "said_again", "f", "b0"), *GOOD, attempt(80, 2, "s1")],
        ),
        (
            "no effect twice",
            "while one was out",
            [
                sent(0),
                attempt(5),
                attempt(60, 2, "s1"),
                let_go(120),
                reply(130, "up", 2),
                answer(140, line="UP r2"),
            ],
        ),
        (
            "no effect twice",
            "4 connects of 3",
            [
                sent(0),
                *(
                    e
                    for i in range(4)
                    for e in (attempt(5 + 20 * i, i), reply(10 + 20 * i, "busy", i))
                ),
                answer(90, "busy", "BUSY"),
            ],
        ),
        (
            "no effect twice",
            "though it may have run",
            [
                sent(0, "book"),
                attempt(5),
                let_go(90),
                attempt(99, 2),
                reply(110, "up", 2),
                answer(120, line="UP r2"),
            ],
        ),
        (
            "no effect twice",
            "rejected, though",
            [sent(0, "book"), attempt(5), reply(9, "error"), answer(12, "busy", "BUSY")],
        ),
        (
            "no effect twice",
            "after its window",
            [
                sent(0, "note"),
                attempt(5),
                let_go(90),
                attempt(399, 2),
                reply(410, "up", 2),
                answer(420, line="UP r2"),
            ],
        ),
        (
            "no effect twice",
            "outside its group",
            [
                sent(0, "note"),
                attempt(5),
                let_go(90),
                attempt(99, 2, "s2"),
                reply(110, "up", 2, "s2"),
                answer(120, line="UP r2"),
            ],
        ),
        (
            "drains",
            "s0 50 ms past the grace",
            [
                told(0, "terminating"),
                told(500, "terminated"),
                sent(1050),
                attempt(1100),
                reply(1102),
                answer(1104),
            ],
        ),
        (
            "drains",
            "past the grace",
            [
                told(0, "terminating", version=5),
                told(500, "in_service", version=4),
                sent(1050),
                attempt(1100),
                reply(1102),
                answer(1104),
            ],
        ),  # an older list takes nothing back
        (
            "cold",
            "s1, started at 0.000 s",
            [
                down(0, "s1", "server_up"),
                *(
                    e
                    for i in range(9)
                    for e in (
                        sent(i, flow=f"f{i}"),
                        attempt(i + 1, i, "s1", f"f{i}"),
                        reply(i + 2, "up", i, "s1", f"f{i}"),
                        answer(i + 3, line=f"UP r{i}", flow=f"f{i}"),
                    )
                ),
            ],
        ),
        (
            "lines",
            "up: heard ['a', 'c']",
            GOOD
            + [
                lines("client", ["a", "b", "c"], []),
                lines("server", [], ["a", "c"]),
                ended(900, "own"),
            ],
        ),
        (
            "lines",
            "down: heard ['a', 'a']",
            GOOD
            + [
                lines("client", [], ["a", "a"]),
                lines("server", ["a", "b"], []),
                ended(900, "move"),
            ],
        ),
        (
            "lines",
            "up: 1 of 2 lines lost",
            GOOD + [lines("client", ["a", "b"], []), lines("server", [], ["a"]), ended(900, "own")],
        ),
        (
            "lines",
            "cut off without MOVE",
            GOOD + [lines("client", [], []), lines("server", [], []), ended(900, "end")],
        ),
    ],
)
def test_each_violation_is_found_and_named(rule, said, events):
    found = check(events, RULES)
    assert [(b.rule, said in b.message) for b in found] == [(rule, True)], [str(b) for b in found]
    assert found[0].evidence and found[0].flow == (
        "f3" if rule == "cold" else "x" if "client had" in said else "f"
    )


def test_saved_observations_load_unchanged(tmp_path):
    save(GOOD, tmp_path / "events")
    assert load(tmp_path / "events") == GOOD


# Wrong balancers, played.

WORLD = toml.decode(
    {
        "name": "wrong",
        "seconds": 3.5,
        "load": {"course": [[0, 14]]},
        "list_service": {"late_ms": [10, 40]},
        "servers": [{"name": "s", "zone": "north", "count": 4, "cold_share": 0.02, "cores": 1}],
        "balancers": [{"zone": "north"}],
        "settings": {"drain_grace_ms": 500, "fall_ms": 1000, "overload_factor": 2},
        "types": [
            {"name": "view", "share": 2, "life_s": [1, 2], "timeout_ms": 600},
            {
                "name": "book",
                "share": 1,
                "life_s": [1, 2],
                "timeout_ms": 600,
                "effect": "once-only",
            },
        ],
        "clients": {"line_ms": 100, "groups": 0, "habit": "none", "returns": False},
        "trouble": [
            {"kind": "errors", "at_s": 0, "amount": 0.5, "servers": ["s-0"]},
            {"kind": "drain", "at_s": 0.5, "servers": ["s-1"]},
            {"kind": "crash", "at_s": 0.5, "for_s": 0.5, "servers": ["s-2"]},
        ],
    },
    Experiment,
    "wrong",
)
WAYS = {
    "right": {},
    "silent": {"one answer": "no final answer in time"},
    "late": {"one answer": "after its connect timeout"},
    "ends": {"one answer": "with no answer"},
    "made up": {"one answer": "what no server gave"},
    "twice": {"one answer": "a second final answer"},
    "after": {"one answer": "after its final answer"},
    "both": {"no effect twice": "while one was out"},
    "again": {"no effect twice": "though it may have run"},
    "rejects": {"no effect twice": "rejected, though"},
    "drained": {"drains": "past the grace"},
    "cold": {"cold": "s-2"},
    "loses": {"lines": "up: heard"},
    "doubles": {"lines": "down: heard"},
    "cuts": {"lines": "cut off without MOVE"},
}


def play(way, folder):
    command = [sys.executable, str(Path(__file__).parent / "mutant_balancer.py"), way]
    day = played(WORLD, WORLD.variants[0], 1, Path(folder) / way.replace(" ", "-"), command=command)
    return day.void, day.broken, day.breaches


def test_each_kind_of_wrong_balancer_is_detected_and_a_right_one_passes(tmp_path):
    with ProcessPoolExecutor(5) as pool:
        found = dict(zip(WAYS, pool.map(partial(play, folder=str(tmp_path)), WAYS)))
    for way, expected in WAYS.items():
        void, broken, breaches = found[way]
        assert not void, f"{way}: {void}"
        assert set(broken) >= set(expected) and (expected or not broken), f"{way}: {breaches}"
        for rule, said in expected.items():
            assert any(b.startswith(rule) and said in b for b in breaches), f"{way}: {breaches}"
        # What it does right is not blamed: only a second connect at a time may bring other breaches along.
        assert set(broken) <= set(expected) or way == "both", f"{way}: {breaches}"
