"""Tests of the checker with hand-written observations and with mutant balancers."""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import pytest
from helpers import play_with_retries
from mutant_balancer import Mutation

from cypresswalk import toml
from cypresswalk.lab.checker import COLD_SERVERS, DRAINS, LINES, ONE_ANSWER, ONE_EFFECT, check
from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.observations import Observation, load, save
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.lab.rules import Rules, ServerRule, TypeRule
from cypresswalk.lab.units import MILLISECOND, SECOND

RULES = Rules(
    types={
        "view": TypeRule("repeatable", "all", 0),
        "book": TypeRule("once-only", "all", 0),
        "note": TypeRule("referenced", "zone", 300 * MILLISECOND),
    },
    servers={
        "s0": ServerRule("a", 0, 40.0, 0.2, 20 * SECOND),
        "s1": ServerRule("a", 1, 40.0, 0.2, 20 * SECOND),
        "s2": ServerRule("b", 0, 40.0, 0.2, 20 * SECOND),
    },
    max_attempts=3,
    drain_grace=1000 * MILLISECOND,
    overload_factor=2.0,
    overload_window=2 * SECOND,
    turnover=0.1,
)

# Builders of observations. All times are in milliseconds since the scenario's start.


def observation(at: int, kind: str, flow: str, subject: str, /, **fields: object) -> Observation:
    """Return an observation of any kind."""
    return Observation(at * MILLISECOND, kind, flow, subject, fields)


def sent(at, flow_type="view", flow="f", balancer="b0"):
    """Return the observation that a client sent a flow, with a timeout of one second."""
    return observation(at, "sent", flow, balancer, type=flow_type, wait_ms=1000, person=1)


def repeated(at, balancer="b0"):
    """Return the observation that a misbehaving client repeated the flow's id."""
    return observation(at, "said_again", "f", balancer)


def answer(at, kind="up", line="UP r1", flow="f"):
    """Return the observation that a client received an answer."""
    return observation(at, "answer", flow, "b0", kind=kind, line=line)


def attempt(at, number=1, server="s0", flow="f", balancer="b0"):
    """Return the observation that a server received an attempt of a flow."""
    return observation(at, "attempt", flow, server, balancer=balancer, number=number, load=1.0)


def reply(at, kind="up", number=1, server="s0", flow="f"):
    """Return the observation that a server replied."""
    receipt = f"UP r{number}"
    return observation(at, "reply", flow, server, number=number, kind=kind, receipt=receipt)


def let_go(at, number=1):
    """Return the observation that the balancer closed its connection to a server."""
    return observation(at, "let_go", "f", "s0", number=number)


def lab_late(since, at):
    """Return the observation that the lab's event loop was late."""
    return observation(at, "lab_late", "", "", since=since * MILLISECOND)


def lines(side, said, heard):
    """Return the observation of the lines that one side of a connection sent and received."""
    return observation(900, "lines", "f", "b0", side=side, said=said, heard=heard, number=1)


def ended(at, how):
    """Return the observation that a client's connection ended."""
    return observation(at, "ended", "f", "b0", how=how)


def told(at, state, version=0):
    """Return the observation that a balancer was notified of s0's state."""
    return observation(at, "told", "", "b0", server="s0", life=state, version=version)


def balancer_down(at):
    """Return the observation that the balancer died."""
    return observation(at, "balancer_down", "", "b0")


def server_down(at):
    """Return the observation that server s0 died."""
    return observation(at, "server_down", "", "s0")


def second_attempt(at, server="s1", reply_server="s1", answer_after=5):
    """Return a second attempt with its reply and the client's answer."""
    return [
        attempt(at, 2, server),
        reply(at + 10, "up", 2, reply_server),
        answer(at + 10 + answer_after, line="UP r2"),
    ]


def established(at):
    """Return an attempt at time `at`, its reply and the client's answer."""
    return [attempt(at), reply(at + 2), answer(at + 4)]


GOOD = [sent(0), attempt(5), reply(10), answer(12)]


@pytest.mark.parametrize(
    "events",
    [
        pytest.param(GOOD, id="one attempt"),
        pytest.param(
            [sent(0), attempt(5), reply(9, "busy"), *second_attempt(12)],
            id="retry after a busy server",
        ),
        pytest.param(
            [sent(0), attempt(5), let_go(400), *second_attempt(402)],
            id="retry after the attempt timeout",
        ),
        pytest.param(
            [sent(0), attempt(5), reply(980), lab_late(985, 1150), answer(1160)],
            id="answer that came while the lab was late",
        ),
        pytest.param(
            [
                sent(0),
                attempt(5),
                attempt(30, 2, "s1"),
                let_go(50),
                reply(60, "up", 2, "s1"),
                answer(65, line="UP r2"),
            ],
            id="end of the first attempt read late",
        ),
        pytest.param(
            [sent(0), attempt(5), server_down(8), *second_attempt(12)],
            id="retry after the server died",
        ),
        pytest.param(
            [sent(0, "book"), attempt(5), reply(9, "error"), answer(12, "failed", "ERR")],
            id="once-only flow failed after an error",
        ),
        pytest.param(
            [sent(0, "book"), attempt(5), reply(9, "busy"), answer(12, "busy", "BUSY")],
            id="once-only flow rejected that did not run",
        ),
        pytest.param(
            [sent(0, "note"), attempt(5), let_go(90), *second_attempt(99, reply_server="s0")],
            id="retry with an idempotency key in its zone and window",
        ),
        pytest.param([sent(0), balancer_down(500)], id="balancer died with the flow"),
        pytest.param(
            [sent(0), ended(30, "reset"), balancer_down(31)], id="reset by a dying balancer"
        ),
        pytest.param([sent(0), observation(400, "left", "f", "b0")], id="client left"),
        pytest.param([sent(0), observation(700, "day_ended", "", "")], id="scenario ended"),
        pytest.param(
            [
                *GOOD,
                lines("client", ["a", "b"], ["a"]),
                lines("server", ["a"], ["a", "b"]),
                ended(900, "own"),
            ],
            id="all lines relayed",
        ),
        pytest.param(
            [
                *GOOD,
                lines("client", ["a", "b"], ["a"]),
                lines("server", ["a", "b"], ["a"]),
                ended(900, "move"),
            ],
            id="lines under way at a migration",
        ),
        pytest.param(
            [*GOOD, server_down(850), ended(870, "reset")], id="cut off as the server died"
        ),
        pytest.param(
            [told(0, "terminating"), sent(900), *established(1040)],
            id="attempt within the drain's grace",
        ),
        pytest.param(
            [told(0, "terminating"), told(1500, "in_service"), sent(1900), *established(1940)],
            id="attempt after the drain was cancelled",
        ),
        pytest.param(
            [repeated(0, "b1"), *GOOD, attempt(14, 9, "s1", balancer="b1")],
            id="id repeated by a misbehaving client at another balancer",
        ),
    ],
)
def test_allowed_histories_have_no_violation(events):
    assert [str(violation) for violation in check(events, RULES)] == []


def retried_flow(flow_type, first_end, second_at, server="s1"):
    """Return a flow whose first attempt the balancer ended and which it then retried."""
    return [
        sent(0, flow_type),
        attempt(5),
        let_go(first_end),
        *second_attempt(second_at, server, reply_server=server, answer_after=10),
    ]


def flows_at_started_server(count):
    """Return `count` flows at s1, which has just started."""
    events = [observation(0, "server_up", "", "s1")]
    for number in range(count):
        flow = f"f{number}"
        events += [
            sent(number, flow=flow),
            attempt(number + 1, number, "s1", flow),
            reply(number + 2, "up", number, "s1", flow),
            answer(number + 3, line=f"UP r{number}", flow=flow),
        ]
    return events


def busy_attempts(count):
    """Return consecutive attempts, each at a busy server."""
    events = []
    for number in range(count):
        events += [attempt(5 + 20 * number, number), reply(10 + 20 * number, "busy", number)]
    return events


BUSY = answer(5, "busy", "BUSY")


@pytest.mark.parametrize(
    "rule, message, events",
    [
        (ONE_ANSWER, "no final answer in time", [sent(0), attempt(5)]),
        (ONE_ANSWER, "ended (end) with no answer", [sent(0), ended(40, "end")]),
        (ONE_ANSWER, "a second final answer", [sent(0), BUSY, answer(6, "failed", "ERR")]),
        (ONE_ANSWER, "answered 60 ms after", [sent(0), attempt(5), reply(1050), answer(1060)]),
        (  # the lab read what had arrived until 1060 ms; the answer was not among it
            ONE_ANSWER,
            "answered 60 ms after",
            [sent(0), attempt(5), reply(1050), lab_late(1060, 1160), answer(1165)],
        ),
        (  # the lab had read all that had arrived by then
            ONE_ANSWER,
            "answered 60 ms after",
            [sent(0), attempt(5), reply(1050), lab_late(900, 1000), answer(1060)],
        ),
        (ONE_ANSWER, "after its final answer", [sent(0), BUSY, attempt(80)]),
        (
            ONE_ANSWER,
            "a line that no server sent",
            [sent(0), attempt(5), reply(10), answer(12, line="UP r2")],
        ),
        (ONE_ANSWER, "a flow that no client had sent", [attempt(5, flow="x")]),
        (ONE_ANSWER, "after its final answer", [repeated(0), *GOOD, attempt(80, 2, "s1")]),
        (
            ONE_EFFECT,
            "while one was pending",
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
            ONE_EFFECT,
            "4 attempts, 3 are allowed",
            [sent(0), *busy_attempts(4), answer(90, "busy", "BUSY")],
        ),
        (ONE_EFFECT, "though it may have run", retried_flow("book", 90, 99, "s0")),
        (
            ONE_EFFECT,
            "rejected, though",
            [sent(0, "book"), attempt(5), reply(9, "error"), answer(12, "busy", "BUSY")],
        ),
        (ONE_EFFECT, "after its window", retried_flow("note", 90, 399, "s0")),
        (ONE_EFFECT, "outside its scope", retried_flow("note", 90, 99, "s2")),
        (
            DRAINS,
            "s0 50 ms past the grace period",
            [told(0, "terminating"), told(500, "terminated"), sent(1050), *established(1100)],
        ),
        pytest.param(
            DRAINS,
            "past the grace period",
            [
                told(0, "terminating", version=5),
                told(500, "in_service", version=4),
                sent(1050),
                *established(1100),
            ],
            id="an older list does not cancel a drain",
        ),
        (COLD_SERVERS, "s1, started at 0.000 s", flows_at_started_server(9)),
        (
            LINES,
            "up: received ['a', 'c']",
            [
                *GOOD,
                lines("client", ["a", "b", "c"], []),
                lines("server", [], ["a", "c"]),
                ended(900, "own"),
            ],
        ),
        (
            LINES,
            "down: received ['a', 'a']",
            [
                *GOOD,
                lines("client", [], ["a", "a"]),
                lines("server", ["a", "b"], []),
                ended(900, "move"),
            ],
        ),
        (
            LINES,
            "up: 1 of 2 lines lost",
            [
                *GOOD,
                lines("client", ["a", "b"], []),
                lines("server", [], ["a"]),
                ended(900, "own"),
            ],
        ),
        (
            LINES,
            "cut off without MOVE",
            [*GOOD, lines("client", [], []), lines("server", [], []), ended(900, "end")],
        ),
    ],
)
def test_each_violation_is_reported_with_its_rule_flow_and_evidence(rule, message, events):
    found = check(events, RULES)
    texts = [str(violation) for violation in found]
    assert [violation.rule for violation in found] == [rule], texts
    assert message in found[0].message, texts
    assert found[0].evidence
    # The budget of the cold s1 is 2 * 40 * 0.2 * 0.1 * 2 = 3.2, which the fourth flow exceeds.
    flows = {COLD_SERVERS: "f3", "a flow that no client had sent": "x"}
    assert found[0].flow == flows.get(rule, flows.get(message, "f"))


def test_saved_observations_load_unchanged(tmp_path):
    save(GOOD, tmp_path / "events")
    assert load(tmp_path / "events") == GOOD


# Scenarios with mutant balancers.

EXPERIMENT = toml.decode(
    {
        "name": "mutants",
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
    "mutants",
)


@dataclass(frozen=True)
class Expected:
    """The violation that the checker must find in a mutant: its rule and part of its message."""

    rule: str
    message: str


DETECTED = {
    Mutation.NEVER_ANSWERS: Expected(ONE_ANSWER, "no final answer in time"),
    Mutation.ANSWERS_LATE: Expected(ONE_ANSWER, "after its connect timeout"),
    Mutation.ENDS_WITHOUT_ANSWER: Expected(ONE_ANSWER, "with no answer"),
    Mutation.INVENTS_ANSWER: Expected(ONE_ANSWER, "a line that no server sent"),
    Mutation.ANSWERS_TWICE: Expected(ONE_ANSWER, "a second final answer"),
    Mutation.ATTEMPTS_AFTER_ANSWER: Expected(ONE_ANSWER, "after its final answer"),
    Mutation.TWO_ATTEMPTS_AT_ONCE: Expected(ONE_EFFECT, "while one was pending"),
    Mutation.RETRIES_ONCE_ONLY: Expected(ONE_EFFECT, "though it may have run"),
    Mutation.REJECTS_WHAT_MAY_HAVE_RUN: Expected(ONE_EFFECT, "rejected, though"),
    Mutation.IGNORES_DRAINS: Expected(DRAINS, "past the grace period"),
    Mutation.PREFERS_COLD_SERVERS: Expected(COLD_SERVERS, "s-2"),
    Mutation.LOSES_LINE: Expected(LINES, "up: received"),
    Mutation.DOUBLES_LINE: Expected(LINES, "down: received"),
    Mutation.CUTS_CONNECTION: Expected(LINES, "cut off without MOVE"),
}
PARALLEL_MUTANTS = 5
# On one pytest worker, so that the mutants are played only once.
on_one_worker = pytest.mark.xdist_group("mutant_balancers")


def play_mutant(mutation: Mutation, folder: Path) -> ScenarioResult:
    """Play the experiment with a mutant instead of the balancer."""
    command = [sys.executable, str(Path(__file__).parent / "mutant_balancer.py"), mutation]
    variant = EXPERIMENT.variants[0]
    result = play_with_retries(EXPERIMENT, variant, 1, folder / mutation, command=command)
    result.events = []  # not needed, so not transferred from the process
    return result


@pytest.fixture(scope="module")
def played_mutants(tmp_path_factory) -> dict[Mutation, ScenarioResult]:
    """Return the result of each mutant; up to PARALLEL_MUTANTS of them are played in parallel."""
    play = partial(play_mutant, folder=tmp_path_factory.mktemp("mutants"))
    with ProcessPoolExecutor(PARALLEL_MUTANTS) as pool:
        return dict(zip(Mutation, pool.map(play, Mutation), strict=True))


@on_one_worker
def test_the_balancer_without_a_mutation_has_no_violation(played_mutants):
    result = played_mutants[Mutation.NONE]
    assert not result.void, result.void
    assert not result.broken, result.breaches


def test_each_mutation_has_an_expected_violation():
    assert set(DETECTED) == set(Mutation) - {Mutation.NONE}


@on_one_worker
@pytest.mark.parametrize("mutation", DETECTED)
def test_mutant_balancer_is_detected(played_mutants, mutation):
    result, expected = played_mutants[mutation], DETECTED[mutation]
    assert not result.void, result.void
    assert any(
        text.startswith(expected.rule) and expected.message in text for text in result.breaches
    ), result.breaches
    assert expected.rule in result.broken
    # No other rule may be reported; only two attempts at once may violate other rules as well.
    if mutation is not Mutation.TWO_ATTEMPTS_AT_ONCE:
        assert set(result.broken) == {expected.rule}, result.breaches
