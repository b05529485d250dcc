"""Two processes of one balancer side by side: the state machine by hand and at random, then the program over sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from threading import Event, Thread
from types import SimpleNamespace

import pytest
from helpers import listed
from hypothesis import settings as runs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from test_calls import stand
from test_net import LIMITS, SEEDED, Bench
from test_operated import Operated, free_port
from test_sockets import ROOT, Lines, Program, Server, start  # noqa: F401 (a fixture)

from cypresswalk.model import SECOND, Outcome, ServerState
from cypresswalk.net.clock import Clock
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.handover import VERSION, Handover
from cypresswalk.net.handover_socket import HandoverSocket
from cypresswalk.net.handover_state import StateReceiver, state_messages
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import server_number


class Way:
    """One direction between the two: what is sent lies here until it is carried over."""

    def __init__(self, to, back=None):
        self.to, self.back, self.sent, self.closed = to, back or Way(None, self), [], False

    def send(self, message, descriptors=()):
        self.sent.append(json.dumps(message))

    def close(self):
        self.closed = True

    def carry(self, most=1000) -> int:
        done = 0
        while self.sent and done < most:
            message, done = json.loads(self.sent.pop(0)), done + 1
            if "welcome" not in message:  # read by the driver, before there is a core
                self.to.tell(self.to.core.extensions.handover.on_message, self.back, message)
        return done


class Door:
    """The drivers that two processes share, as far as a side asks them."""

    def __init__(self, process, accepting):
        self.process, self.accepting, self.version = process, accepting, 1

    def accept(self):
        self.accepting = True

    def stop_accepting(self):
        self.accepting = False

    def list_position(self):
        return "127.0.0.1:9", self.version

    def server_names(self):
        return self.process.registry.names

    def listening_sockets(self):
        return 7, 8


class Process(Bench):
    def __init__(self, elder: "Process | None" = None, **more):
        super().__init__(**more)
        self.door = Door(self, elder is None)
        self.way = Way(elder) if elder else None
        self.core.extensions.handover = Handover(self.core, self.door, self.way)
        if elder:
            self.now, self.way.back.to = elder.now, self
            elder.tell(elder.core.extensions.handover.on_hello, self.way.back)

    def settle(self):
        while self.way.carry() + self.way.back.carry():
            pass

    def part(self, ended: "Process"):
        """That process is killed: this one finds an end."""
        self.tell(self.core.extensions.handover.on_disconnected, self.core.extensions.handover.peer)

    def call(self, name, server="") -> AdminCommand:
        call = AdminCommand(name, server)
        self.tell(self.core.commands.on_command, call)
        return call


def answer(call) -> str | None:
    return None if call.answers.empty() else call.answers.get_nowait().decode().split()[0]


def test_the_elder_serves_until_it_is_stopped_and_the_younger_from_then_on_with_all_that_it_knew():
    elder = Process()
    stand(elder, 6, 0)
    away, late = (elder.core.balancer.servers[server_number(f"s-{i}")] for i in (0, 1))
    assert answer(elder.call("set-down", "s-0")) == "OK"
    elder.core.balancer.on_gossip(elder.now, late, 2.0)
    elder.core.balancer.limits.keep_at(elder.now, late, 3.0)
    younger = Process(elder)
    assert answer(younger.call("check")) == "ERR"  # it knows nothing yet
    younger.settle()
    assert answer(younger.call("check")) == answer(elder.call("check")) == "OK"
    assert (elder.door.accepting, younger.door.accepting) == (True, False)
    assert not younger.core.lifecycle.ready  # the clients' door is the elder's still
    elder.tell(elder.core.lifecycle.stop)
    assert elder.door.accepting  # until the younger has said that it accepts
    younger.settle()
    assert (elder.door.accepting, younger.door.accepting) == (
        False,
        True,
    ) and younger.core.lifecycle.ready
    assert elder.core.lifecycle.ready  # its address is served, whoever answers
    here = younger.core.balancer.servers
    assert (
        here[away.id].out_of_rotation
        and here[late.id].load == 2
        and here[late.id].concurrency_limit == late.concurrency_limit == 3
    )
    again = younger.open(3)  # an id that the elder has served
    assert younger.sockets.answers[again] == b"ERR\r\n"
    assert away.id not in {leg.server.id for leg in stand(younger, 9, 20)}
    elder.pass_time(2 * SECOND)
    assert elder.core.lifecycle.stopped and len(elder.sockets.moved) == 6


def test_what_both_hold_stays_within_what_one_may_hold():
    elder = Process(sockets=64)
    most = elder.core.limits.max_flows
    stand(elder, most, 0)
    younger = Process(elder, sockets=64)
    younger.settle()
    elder.tell(elder.core.lifecycle.stop)
    younger.settle()
    held = len(elder.core.sessions)
    assert len(stand(younger, 40, 100)) == most - held < most
    for _ in range(20):
        elder.pass_time(SECOND // 10)
        younger.pass_time(SECOND // 10)
        younger.settle()
        stand(younger, 3, 1000 + 3 * _)
        assert len(elder.core.sessions) + len(younger.core.sessions) <= most
    assert elder.core.lifecycle.stopped and len(younger.core.sessions) == most


@pytest.mark.parametrize("caller", ["elder", "younger"])
@pytest.mark.parametrize("stopped", [False, True])
def test_a_call_in_the_overlap_holds_for_both_before_its_yes(caller, stopped):
    pair = {"elder": Process()}
    pair["younger"] = younger = Process(pair["elder"])
    younger.settle()
    if stopped:
        pair["elder"].tell(pair["elder"].core.lifecycle.stop)
        younger.settle()
    asked = [pair[caller].call("set-down", "s-1"), pair[caller].call("drain-on")]
    assert [answer(call) for call in asked] == [None, None]
    younger.settle()
    assert [answer(call) for call in asked] == ["OK", "OK"]
    for process in pair.values():
        assert process.core.balancer.servers[server_number("s-1")].out_of_rotation and not (
            process is younger and process.core.lifecycle.ready
        )
    unknown = pair[caller].call("set-down", "s-9")
    younger.settle()
    assert answer(unknown) == "ERR"
    # One that a single list names so far is known to both, and out at both.
    pair["elder"].tell(
        pair["elder"].core.on_endpoints,
        *pair["elder"].registry.decode({"generation": 2, "instances": [listed("s-7")]}),
    )
    known = pair[caller].call("set-down", "s-7")
    younger.settle()
    assert answer(known) == "OK" and all(
        p.core.balancer.servers[server_number("s-7")].out_of_rotation for p in pair.values()
    )


def test_a_call_that_the_other_never_confirms_is_answered_with_no_and_one_whose_other_ends_with_yes():
    elder = Process()
    younger = Process(elder)
    younger.settle()
    lost = elder.call("set-down", "s-1")
    elder.pass_time(SECOND)
    assert answer(lost) == "ERR"
    alone = elder.call("set-up", "s-1")
    elder.part(younger)
    assert answer(alone) == "OK" and elder.door.accepting


def test_whichever_ends_the_other_serves():
    elder = Process()
    younger = Process(elder)
    younger.settle()
    elder.part(younger)  # before its yes: a further one may come
    assert elder.door.accepting and elder.core.lifecycle.ready
    second = Process(elder)
    second.settle()
    assert answer(elder.call("set-down", "s-2")) is None
    second.settle()
    second.part(elder)  # killed before it was told to stop
    assert (
        second.door.accepting
        and second.core.lifecycle.ready
        and second.core.balancer.servers[server_number("s-2")].out_of_rotation
    )
    third = Process(second)  # a second upgrade right after the first
    third.settle()
    assert third.core.balancer.servers[server_number("s-2")].out_of_rotation
    second.tell(second.core.lifecycle.stop)
    third.settle()
    second.part(third)  # the new one is killed: the old one takes clients for as long as it lives
    assert second.door.accepting


def test_one_at_a_time_stands_beside_it_and_one_that_waits_itself_hands_nothing_on():
    elder = Process()
    younger = Process(elder)
    for process in (elder, younger):
        third = Way(process).back
        process.tell(process.core.extensions.handover.on_hello, third)
        assert "refused" in json.loads(third.sent[0]) and third.closed


def test_drained_by_hand_it_stays_so_over_an_upgrade():
    elder = Process()
    elder.call("drain-on")
    younger = Process(elder)
    younger.settle()
    elder.tell(elder.core.lifecycle.stop)
    younger.settle()
    assert younger.core.lifecycle.phase is Phase.DRAINED and not younger.core.lifecycle.ready
    assert answer(younger.call("drain-off")) is None
    younger.settle()
    assert younger.core.lifecycle.ready


def test_of_a_cold_budget_nothing_stays_behind():
    elder = Process()
    cold = elder.core.balancer.servers[server_number("s-0")]
    cold.started_at, cold.health = elder.now, 4
    younger = Process(elder)
    younger.settle()
    elder.tell(elder.core.lifecycle.stop)
    younger.settle()
    stand(elder, 40, 0)
    assert not any(leg.server is cold for leg in elder.sockets.legs)


def test_a_later_list_and_a_later_start_go_before_the_elder_s_word_and_an_older_list_after_it():
    elder = Process()
    gone = {
        "generation": 5,
        "instances": [
            listed("s-0", lifecycle="terminated"),
            listed("s-1", lifecycle="terminating"),
        ],
    }
    elder.tell(elder.core.on_endpoints, *elder.registry.decode(gone))
    for version, states in (
        (4, (ServerState.GONE, ServerState.DRAINING)),
        (6, (ServerState.READY, ServerState.READY)),
    ):
        elder.door.version = 5
        elder.core.extensions.handover.peer = None
        younger = Process(elder)
        younger.door.version = version
        younger.settle()
        assert (
            tuple(younger.core.balancer.servers[server_number(f"s-{i}")].state for i in (0, 1))
            == states
        )


@pytest.mark.parametrize(
    "spoil",
    [
        lambda m: m["state"].pop("now"),
        lambda m: m["state"].update(version="x"),
        lambda m: m["servers"][0].update(limit=float("nan")),
        lambda m: m["servers"][0].update(state="asleep"),
        lambda m: m["servers"][0].update(address="nowhere"),
        lambda m: m["servers"][0].update(weight=0),
        lambda m: m["servers"][0].update(health=-1),
        lambda m: m["ids"].append("x"),
        lambda m: m["servers"].append(7),
        lambda m: m["servers"][0].update(dealt=[float("inf"), 1]),
        lambda m: m["servers"][0].pop("name"),
    ],
)
def test_of_a_state_that_is_odd_anywhere_nothing_is_believed(spoil):
    elder = Process()
    stand(elder, 3, 0)
    whole = {}
    for message in state_messages(elder.now, elder.core, elder.door):
        whole |= message

    def told(whole):
        told = StateReceiver(whole["state"])
        told.add({"servers": whole["servers"]})
        told.add({"ids": whole["ids"]})
        return told.decode()

    whole["servers"][0]["a later field"] = 1
    assert len(told(whole).servers) == 3
    spoil(whole)
    with pytest.raises(ProtocolError):
        told(whole)


def test_a_command_at_the_successor_holds_though_the_predecessors_state_is_read_after_it():
    predecessor = Process()
    successor = Process(predecessor)
    call = successor.call("set-down", "s-0")
    successor.settle()
    assert answer(call) == "OK"
    for process in (predecessor, successor):
        assert [s.out_of_rotation for s in process.core.balancer.servers.values()].count(True) == 1
    call = successor.call("drain-on")
    successor.settle()
    assert answer(call) == "OK"


class Pair(RuleBasedStateMachine):
    """Any order of events at both, messages late by any number: the rules hold over the sum."""

    @initialize()
    def start(self):
        self.first, self.second, self.count, self.out = Process(sockets=140), None, 0, set()

    def living(self):
        return [
            p for p in (self.first, self.second) if p is not None and not p.core.lifecycle.stopped
        ]

    @rule()
    def upgrade(self):
        if self.second is None:
            self.second = Process(self.first, sockets=140)

    @precondition(lambda self: self.second)
    @rule(most=st.integers(1, 9), up=st.booleans())
    def carry(self, most, up):
        (self.second.way if up else self.second.way.back).carry(most)

    @precondition(lambda self: self.second)
    @rule()
    def stop(self):
        if answer(self.second.call("check")) == "OK":
            self.first.tell(self.first.core.lifecycle.stop)

    @rule(kind=st.sampled_from(["view", "book"]))
    def open(self, kind):
        for process in self.living():
            if process.door.accepting and len(process.core.sessions) < 60:
                self.count += 1
                process.open(self.count, f"c={kind},t=south,d=900")
                break

    @rule(
        which=st.integers(0, 99),
        outcome=st.sampled_from([None, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED]),
    )
    def end(self, which, outcome):
        for process in self.living():
            legs = list(process.sockets.out.values())
            if legs:
                leg = legs[which % len(legs)]
                if outcome is None:
                    process.tell(process.core.on_established, leg)
                else:
                    process.sockets.close_attempt(leg)
                    process.tell(process.core.on_attempt_ended, leg, outcome)

    @rule(out=st.booleans(), server=st.integers(0, 2), which=st.integers(0, 1))
    def hand(self, out, server, which):
        process = self.living()[which % len(self.living())]
        call = process.call("set-down" if out else "set-up", f"s-{server}")
        if self.second is not None:
            self.second.settle()
        if answer(call) == "OK":
            (self.out.add if out else self.out.discard)(server_number(f"s-{server}"))

    @rule(tenths=st.integers(0, 10))
    def wait(self, tenths):
        for process in self.living():
            process.pass_time(tenths * SECOND // 10)

    @rule()
    def check(self):
        for process in self.living():
            informed = process is self.first or process.core.extensions.handover.state_received
            assert not informed or self.out == {
                s.id for s in process.core.balancer.servers.values() if s.out_of_rotation
            }
            for session, due in process.due.items():
                assert session in process.sockets.answers or process.now < due, "no answer in time"
        if self.second is not None and not (self.second.way.sent or self.second.way.back.sent):
            assert [p.door.accepting for p in self.living()].count(True) == 1, "not one door"

    def teardown(self):
        if hasattr(self, "first"):
            if self.second is not None:
                self.second.settle()
                self.stop()
                self.second.settle()
            self.check()


TestPair = Pair.TestCase
TestPair.settings = runs(SEEDED, max_examples=60, stateful_step_count=40)


# Over sockets.


class Pairs:
    """A program that is started again beside itself, as operators upgrade it."""

    def __init__(self, program: Program, folder):
        self.program, self.folder, self.processes, self.runs = program, folder, [], 0

    def begin(self, **environment) -> tuple[subprocess.Popen, Operated]:
        port, self.runs = free_port(), self.runs + 1
        log = (self.folder / f"log{self.runs}").open("wb")
        process = subprocess.Popen(
            (sys.executable, "-m", "cypresswalk"),
            cwd=ROOT,
            stderr=log,
            env=os.environ
            | {
                "PROXY_CONFIG": str(self.program.file),
                "PROXY_ADMIN_ADDR": f"127.0.0.1:{port}",
                "TMPDIR": str(self.folder),
            }
            | environment,
        )
        self.processes.append(process)
        return process, Operated(port)

    def ready(self, operator) -> None:
        until = time.monotonic() + 10
        while True:
            try:
                if operator.call("check") == ["OK"]:
                    return
            except ConnectionRefusedError:
                pass
            assert time.monotonic() < until, "never ready"
            time.sleep(0.02)


@pytest.fixture
def pairs(start, tmp_path):  # noqa: F811 (the fixture itself)
    made = []

    def make(*servers, folder=tmp_path, **more) -> tuple[Pairs, Operated]:
        port = free_port()
        program = start(
            *servers,
            environment={"PROXY_ADMIN_ADDR": f"127.0.0.1:{port}", "TMPDIR": str(folder)},
            **more,
        )
        made.append(Pairs(program, folder))
        made[-1].processes.append(program.process)
        return made[-1], Operated(port)

    yield make
    for one in made:
        for process in one.processes:
            process.kill()
            process.wait()


class Load:
    """Clients that come one after another without a pause, and what became of each."""

    def __init__(self, program, name, many=2):
        self.program, self.name, self.ends, self.over, self.standing = (
            program,
            name,
            [],
            Event(),
            [],
        )
        self.threads = [Thread(target=self.run, args=(i,), daemon=True) for i in range(many)]
        for thread in self.threads:
            thread.start()

    def run(self, which):
        number = 0
        while not self.over.is_set():
            number += 1
            try:
                link = self.program.open(f"{self.name}{which}-{number}")
                heard = link.hear().split(" ")[0]
                if heard == "UP" and number % 20:
                    link.say("END")
                    heard = link.hear()
                    link.close()
                else:
                    self.standing.append(link)
            except OSError as error:
                heard = type(error).__name__
            self.ends.append(heard)
            time.sleep(0.002)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def test_upgrades_under_load_turn_no_client_back_and_move_those_that_stand(pairs):
    servers = [Server() for _ in range(3)]
    pair, operator = pairs(*servers, sockets=512)
    assert operator.call("set-down s-0") == ["OK"]
    sent = len(servers[0].openings)
    load = Load(pair.program, "u")
    elder = pair.program.process
    for _ in range(2):
        stood = len(load.standing)
        younger, operator = pair.begin()
        pair.ready(operator)
        assert operator.call("set-down s-1") == operator.call("set-up s-1") == ["OK"]
        elder.send_signal(signal.SIGTERM)
        front = pair.program.connect()
        front.say("PING")
        assert front.hear() == "PONG"
        front.close()
        assert elder.wait(4) == 0
        elder = younger
    load.stop()
    assert len(load.ends) > 200 and set(load.ends) <= {"BYE", "UP"}
    assert stood > 1 and {link.hear() for link in load.standing[:stood]} == {"MOVE"}
    assert len(servers[0].openings) == sent  # out by hand over both upgrades
    ids = [line.split(" ")[1] for server in servers for line in server.openings]
    assert len(ids) == len(set(ids))
    for link in load.standing:
        link.close()


def test_a_new_process_that_dies_and_an_old_one_that_is_killed_leave_the_other_serving(pairs):
    pair, operator = pairs(Server(), Server())
    first, there = pair.begin()
    pair.ready(there)
    first.kill()
    first.wait()
    assert pair.program.open("a1").hear() == "UP ra1" and operator.call("set-down s-0") == ["OK"]
    second, there = pair.begin()
    pair.ready(there)
    pair.program.process.kill()
    pair.program.process.wait()
    assert pair.program.open("a2").hear() == "UP ra2"
    assert json.loads(there.call("vars")[0])["out_of_rotation"] == 1
    third, last = pair.begin()  # over what the killed one left
    pair.ready(last)
    second.send_signal(signal.SIGTERM)
    assert second.wait(4) == 0 and pair.program.open("a3").hear() == "UP ra3"


def test_of_two_that_start_in_the_same_moment_the_second_waits_until_it_can_find_the_first(
    tmp_path,
):
    """Else both listen, and with one of them goes the place where a third would find the other."""
    clock = Clock()
    inboxes = [Inbox(clock), Inbox(clock)]
    first, second = (
        HandoverSocket(str(tmp_path), "b", ("127.0.0.1", 1), inbox, LIMITS) for inbox in inboxes
    )
    assert first.find_predecessor() is None
    found = []
    looking = Thread(target=lambda: found.append(second.find_predecessor()), daemon=True)
    looking.start()
    looking.join(0.3)
    assert looking.is_alive()
    side = SimpleNamespace(
        on_hello=lambda now, other: other.send({"welcome": VERSION}, (first.sock.fileno(),)),
        heard=None,
        parted=lambda now, other: None,
    )
    first.wait_for_successor(side)
    call, words = inboxes[0].urgent.get(timeout=3)
    call(clock(), *words)
    looking.join(3)
    assert found[0] is not None and first.start_lock is None and second.start_lock is None
    found[0].sock.close()


@pytest.mark.parametrize("folder", ["missing", "x" * 120, "file in the way"])
def test_where_the_folder_is_of_no_use_or_its_name_is_long_it_still_starts_beside(
    pairs, tmp_path, folder
):
    place = tmp_path / folder
    if folder.startswith("x"):
        place.mkdir()
    elif folder != "missing":
        place.write_text("")
    pair, _ = pairs(Server(), folder=place)
    pair.folder = tmp_path
    younger, operator = pair.begin(TMPDIR=str(place))
    pair.ready(operator)
    pair.program.process.send_signal(signal.SIGTERM)
    pair.program.process.wait(4)
    assert pair.program.open("b1").hear() == "UP rb1"
    log = (tmp_path / "log1").read_text()
    assert ("event=taken_over" in log) is folder.startswith("x")


def test_what_is_no_process_of_this_balancer_is_refused_at_its_socket(pairs, tmp_path):
    pair, operator = pairs(Server())
    (path,) = [file for file in tmp_path.iterdir() if file.is_socket()]
    assert path.stat().st_mode & 0o077 == 0
    for said in (
        b"\xff\n",
        b"[1]\n",
        b"{}\n",
        b'{"hello":{"version":99,"name":"n0"}}\n',
        b"{" * 9000,
        b"",
    ):
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(3)
            sock.connect(str(path))
            sock.sendall(said)
            sock.shutdown(socket.SHUT_WR)
            heard = sock.recv(4096)
            assert heard == b"" or b"refused" in heard
    assert operator.call("check") == ["OK"] and pair.program.open("c1").hear() == "UP rc1"
