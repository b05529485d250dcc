"""The network code without a socket: parsers fed bytes, the core fed events."""

import pytest
from helpers import START, config_data, listed
from hypothesis import settings as runs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cypresswalk.model import SECOND, Outcome, ServerState
from cypresswalk.net.config import build
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.delay_gauge import DelayGauge
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number
from cypresswalk.net.parsers.lines import parse_open_request
from cypresswalk.net.session import Session

SEEDED = runs(derandomize=True, deadline=None, database=None)


def test_echoes_tell_of_a_slow_server_once_a_second_and_once_when_it_is_over():
    gauge = DelayGauge(None, threshold=50, interval=100)
    gauge.on_setup(10)
    assert [
        gauge.delay_to_report(now, took)
        for now, took in [(0, 40), (1, 90), (2, 95), (101, 99), (102, 30), (103, 30)]
    ] == [None, 80, None, 89, 20, None]


LIMITS = Limits(
    max_sockets=100,
    max_memory=192 << 20,
    dial_timeout=SECOND,
    longest_attempt_timeout=3 * SECOND,
    min_reported_delay=SECOND // 60,
)


class Sockets:
    """Stands in for the drivers and holds what the core asks for against the rules."""

    def __init__(self):
        self.out, self.passing, self.answers, self.moved = {}, {}, {}, set()
        self.legs, self.probes, self.hints, self.asked = [], [], [], 0
        self.in_dial = set()  # nothing was written on these yet

    def connect(self, leg, address, line):
        session = leg.session
        assert session not in self.answers and session not in self.out, "a connect too many"
        assert leg.server.state is ServerState.READY or "at" in session.request.values, (
            "a connect to a server that drains"
        )
        assert not leg.server.out_of_rotation, "a connect to a server out by hand"
        self.out[session], self.line = leg, line
        self.legs.append(leg)

    def start_relay(self, leg):
        assert self.out.pop(leg.session) is leg, "an answer of a connect that was given up"
        assert leg.session not in self.answers, "answered twice"
        self.answers[leg.session], self.passing[leg.session] = b"UP", leg

    def close_attempt(self, leg):
        if self.out.get(leg.session) is leg:
            del self.out[leg.session]

    def cancel_unsent(self, leg):
        return leg in self.in_dial and self.out.pop(leg.session, None) is leg

    def send_reply(self, session, line):
        assert session not in self.answers, "answered twice"
        assert session not in self.out, "answered with a connect out"
        self.answers[session] = line

    def close_client(self, session):
        assert session in self.answers

    def stop_accepting_at(self, at):
        self.shut_at = at

    def migrate(self, session):
        assert session in self.passing and session not in self.moved
        self.moved.add(session)

    def check_health(self, server, address):
        self.probes.append(server)

    def request_endpoints(self):
        self.asked += 1

    def send_gossip(self, message):
        self.hints.append(message)


class Bench:
    """A core, its stand-in drivers and a clock."""

    def __init__(self, servers=3, **changes):
        self.now, self.sockets = START, Sockets()
        data = config_data([listed(f"s-{i}") for i in range(servers)], **changes)
        config = build({}, data)
        self.registry = EndpointListDecoder(config.zones)
        self.core = Core(config, self.sockets, Counters(), self.now)
        self.tell(self.core.on_endpoints, *self.registry.decode(data["known"]))
        self.due = {}

    def tell(self, call, *words):
        call(self.now, *words)
        self.step()

    def step(self):
        self.core.timers.run_due(self.now)
        self.core.carry_out_decisions(self.now)

    def open(self, number, values="c=view,t=north,d=900"):
        session = Session(None)
        self.due[session] = self.now + 900 * SECOND // 1000
        self.tell(
            self.core.on_open, session, parse_open_request(f"OPEN {number:x} 5 {values}".encode())
        )
        return session

    def pass_time(self, span):
        end = self.now + span
        while (due := self.core.timers.next_due()) is not None and due <= end:
            self.now = max(due, self.now)
            self.step()
        self.now = end
        self.step()


def test_a_flow_is_established_and_its_end_is_told_once():
    bench = Bench()
    session = bench.open(1)
    leg = bench.sockets.out[session]
    assert bench.sockets.line.startswith(b"OPEN 1 5 c=view,t=north,d=")
    bench.tell(bench.core.on_established, leg)
    bench.tell(bench.core.on_attempt_ended, leg, Outcome.OK)
    bench.tell(bench.core.on_client_left, session)
    assert (
        bench.sockets.answers[session] == b"UP"
        and not bench.core.sessions
        and not bench.core.balancer.flows
    )


def test_an_up_that_comes_late_is_not_passed_on():
    bench = Bench()
    session = bench.open(1)
    late = bench.sockets.out[session]
    bench.pass_time(SECOND)
    bench.tell(bench.core.on_established, late)
    assert bench.sockets.answers[session] == b"BUSY\r\n"
    session = bench.open(2)
    bench.now += SECOND  # it was in the queue when the time was up
    bench.tell(bench.core.on_established, bench.sockets.out[session])
    assert bench.sockets.answers[session] == b"BUSY\r\n"


@pytest.mark.parametrize(
    "values",
    [
        "c=other,t=north,d=9",
        "c=view,t=east,d=9",
        "c=view,d=9",
        "t=north,d=9",
        "c=view,t=north",
        "c=view,t=north,d=0",
        "c=view,t=north,d=20001",
    ],
)
def test_what_the_settings_do_not_name_gets_a_failed_answer(values):
    bench = Bench()
    assert bench.sockets.answers[bench.open(1, values)] == b"ERR\r\n"


def test_a_connection_handed_over_goes_to_its_server_and_is_tried_again():
    bench = Bench()
    session = bench.open(1, "c=view,t=north,d=99999,at=s-2")
    first = bench.sockets.out.pop(session)
    bench.tell(bench.core.on_attempt_ended, first, Outcome.FULL)
    bench.pass_time(SECOND)
    second = bench.sockets.out[session]
    assert first.server.id == second.server.id == server_number("s-2")
    bench.tell(bench.core.on_established, second)
    assert bench.sockets.answers[session] == b"UP" and second.server.established_flows


def test_a_connection_handed_over_from_a_server_that_nobody_names_is_told_so_soon():
    bench = Bench()
    session = bench.open(1, "c=view,t=north,d=99999,at=nowhere")
    bench.pass_time(3 * SECOND)
    assert bench.sockets.answers[session] == b"ERR\r\n"


def test_an_id_that_was_said_before_is_not_served_again():
    # Guards against servers being asked, and blamed, for a flow that they know to be another's, open or ended.
    bench = Bench()
    first = bench.open(1)
    bench.tell(bench.core.on_established, bench.sockets.out[first])
    assert bench.sockets.answers[bench.open(1)] == b"ERR\r\n"
    bench.tell(bench.core.on_client_left, first)
    again = bench.open(1)
    assert bench.sockets.answers[again] == b"ERR\r\n" and again not in bench.sockets.out


def test_a_client_that_speaks_before_its_answer_is_not_served():
    # Guards against commands by the hundred, of which the first would be served.
    bench = Bench()
    session = bench.open(1)
    leg = bench.sockets.out[session]
    bench.tell(bench.core.on_early_client_data, session)
    assert (
        bench.sockets.answers[session] == b"ERR\r\n"
        and not bench.core.sessions
        and not bench.core.balancer.flows
    )
    bench.tell(bench.core.on_established, leg)
    bench.tell(bench.core.on_early_client_data, session)
    assert bench.sockets.answers[session] == b"ERR\r\n"


def test_an_older_list_from_another_address_does_not_bring_back_a_draining_server_at_once():
    # Guards against new flows to a server that the address before had told to drain.
    bench = Bench(servers=2)

    def list_says(lifecycle, older, **more):
        entry = listed("s-0", lifecycle=lifecycle, **more)
        bench.tell(
            bench.core.on_endpoints,
            *bench.registry.decode({"generation": 9, "instances": [entry]}),
            older,
        )
        return bench.core.balancer.servers[server_number("s-0")].state

    assert list_says("terminating", False) is ServerState.DRAINING
    assert list_says("in_service", True) is ServerState.DRAINING
    bench.pass_time(2 * SECOND)
    assert (
        list_says("terminated", True) is ServerState.GONE
    )  # it has caught up: what waited is void
    bench.pass_time(9 * SECOND)
    assert list_says("in_service", True) is ServerState.GONE
    bench.pass_time(5 * SECOND)
    assert bench.core.balancer.servers[server_number("s-0")].state is ServerState.READY
    assert list_says("terminating", False) is ServerState.DRAINING
    assert (
        list_says("in_service", True, startedAtMs=7) is ServerState.READY
    )  # a start since then is news


def test_a_stop_moves_all_standing_clients_evenly_and_answers_the_rest():
    bench = Bench()
    for number in range(10):
        session = bench.open(number)
        bench.tell(bench.core.on_established, bench.sockets.out[session])
    waiting = bench.open(10)
    bench.tell(bench.core.lifecycle.stop)
    # A stop takes 1.3 s here. Guards against clients moved while the balancer before this one is away still.
    bench.pass_time(SECOND * 6 // 10)
    assert not bench.sockets.moved
    bench.pass_time(SECOND * 4 // 10)
    assert 4 <= len(bench.sockets.moved) <= 6
    late = bench.open(11)
    bench.pass_time(SECOND)
    assert (
        len(bench.sockets.moved) == 10
        and waiting in bench.sockets.answers
        and late in bench.sockets.answers
    )
    assert bench.core.lifecycle.stopped


def test_a_connection_on_which_nothing_comes_back_is_moved_within_seven_seconds_of_its_last_answer():
    bench = Bench()
    heard, silent = bench.open(1), bench.open(2)
    for session in (heard, silent):
        bench.tell(bench.core.on_established, bench.sockets.out[session])
    bench.pass_time(2 * SECOND)
    silent.attempt.unanswered_since = bench.now
    for _ in range(9):
        heard.attempt.unanswered_since = bench.now
        bench.pass_time(SECOND // 2)
    assert bench.sockets.moved == {silent}


def test_a_connection_that_alone_falls_silent_is_moved_soon_and_its_server_not_blamed():
    # Guards against four seconds lost, and against two such connections having a sound server left by all.
    bench = Bench(servers=1)
    heard, silent = bench.open(1), bench.open(2)
    for session in (heard, silent):
        bench.tell(bench.core.on_established, bench.sockets.out[session])
    silent.attempt.unanswered_since = bench.now
    bench.pass_time(SECOND // 2)
    silent.attempt.delay_gauge.latest_answered = bench.now  # to a line of the other
    bench.pass_time(SECOND)
    assert bench.sockets.moved == {silent} and heard.attempt.server is silent.attempt.server
    assert heard.attempt.server.consecutive_failures == 0


def test_a_delay_told_by_a_server_reaches_the_module():
    bench = Bench(extra={"messageAim": [100.0, 100.0], "tellsDelay": True})
    server = next(iter(bench.core.balancer.servers.values()))
    bench.tell(bench.core.on_message_delay, server, SECOND)
    assert server.load == 10.0


class Run(RuleBasedStateMachine):
    @initialize(servers=st.integers(0, 4), sockets=st.sampled_from([140, 1024]))
    def start(self, servers, sockets):
        self.bench, self.count, self.left = Bench(servers, sockets=sockets), 0, set()
        self.told_up, self.told_end = set(), set()

    @rule(
        kind=st.sampled_from(["view", "book"]),
        group=st.integers(0, 3),
        at=st.sampled_from(["", ",at=s-1"]),
    )
    def open(self, kind, group, at):
        self.count += 1
        session = self.bench.open(
            self.count, f"c={kind},t=south,d=900" + f",g={group}" * bool(group) + at
        )
        if at:
            del self.bench.due[session]

    # A connect's thread tells of UP once at most and of the end once, also where the core has given it up.

    @rule(which=st.integers(0, 99))
    def up(self, which):
        legs = [
            leg
            for leg in self.bench.sockets.legs
            if leg not in self.told_up and leg not in self.told_end
        ]
        if legs:
            leg = legs[which % len(legs)]
            self.told_up.add(leg)
            self.bench.tell(self.bench.core.on_established, leg)

    @rule(which=st.integers(0, 99), outcome=st.sampled_from(Outcome))
    def ended(self, which, outcome):
        legs = [leg for leg in self.bench.sockets.legs if leg not in self.told_end]
        if legs:
            leg = legs[which % len(legs)]
            self.told_end.add(leg)
            self.bench.sockets.close_attempt(leg)
            self.bench.tell(self.bench.core.on_attempt_ended, leg, outcome)

    @precondition(lambda self: self.bench.due)
    @rule(which=st.integers(0, 99))
    def leave(self, which):
        session = list(self.bench.due)[which % len(self.bench.due)]
        self.left.add(session)
        self.bench.tell(self.bench.core.on_client_left, session)
        assert session not in self.bench.sockets.out, "a connect without its client"

    @rule(which=st.integers(0, 99), passed=st.booleans())
    def probed(self, which, passed):
        if self.bench.sockets.probes:
            server = self.bench.sockets.probes.pop(which % len(self.bench.sockets.probes))
            self.bench.tell(self.bench.core.on_health_check_result, server, passed, [])

    @rule(
        reset=st.booleans(),
        states=st.lists(st.sampled_from(["in_service", "terminating", "terminated"]), max_size=5),
    )
    def relist(self, reset, states):
        entries = [listed(f"s-{i}", lifecycle=state) for i, state in enumerate(states)]
        self.bench.tell(
            self.bench.core.on_endpoints,
            *self.bench.registry.decode({"generation": 2, "reset": reset, "instances": entries}),
        )

    @rule(tenths=st.integers(0, 12))
    def wait(self, tenths):
        self.bench.pass_time(tenths * SECOND // 10)
        for session, due in self.bench.due.items():
            answered = session in self.bench.sockets.answers or session in self.left
            assert answered or self.bench.now < due, "no answer in time"

    @rule(
        name=st.sampled_from(["check", "vars", "set-down", "set-up", "drain-on", "drain-off"]),
        server=st.integers(0, 4),
    )
    def call(self, name, server):
        self.bench.sockets.in_dial = set(list(self.bench.sockets.out.values())[::2]) - self.told_up
        call = AdminCommand(name, f"s-{server}")
        self.bench.tell(self.bench.core.commands.on_command, call)
        self.told_end |= set(self.bench.sockets.in_dial) - set(self.bench.sockets.out.values())
        assert not call.answers.empty(), "a caller without an answer"

    @rule()
    def stop(self):
        if self.count > 30:
            self.bench.tell(self.bench.core.lifecycle.stop)

    def teardown(self):
        if hasattr(self, "bench"):
            self.bench.tell(self.bench.core.lifecycle.stop)
            self.wait(20)
            standing = {s for s in self.bench.sockets.passing if not s.finished}
            assert not standing, "not moved before the stop"


TestCore = Run.TestCase
TestCore.settings = runs(SEEDED, max_examples=100, stateful_step_count=60)
