"""Where two events cross: both sides are stopped at a chosen instant, by a gate in a stand-in or at a point of the program
that the test holds, and let go in either order. Pages: docs/design/crossings.md."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace
from threading import Event, Semaphore, Thread

import pytest
from helpers import SimulatedHost, config_data, listed
from hypothesis import settings as runs
from test_net import Bench
from test_sockets import ROOT, Discovery, Lines, Listening, Server, changes
from test_sockets import Program as Started

from cypresswalk.model import SECOND, Effect, Outcome, ServerState
from cypresswalk.net import servers as servers_module
from cypresswalk.net.clients import ClientConnection
from cypresswalk.net.clock import Clock
from cypresswalk.net.config import build
from cypresswalk.net.connection import dial
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.discovery import EndpointWatch
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number
from cypresswalk.net.parsers.lines import parse_open_request
from cypresswalk.net.servers import ServerConnection
from cypresswalk.service.program import Program

LIMITS = Limits(
    max_sockets=256,
    max_memory=192 << 20,
    dial_timeout=SECOND,
    longest_attempt_timeout=SECOND,
    min_reported_delay=1,
)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SEEDED = runs(derandomize=True, deadline=None, database=None)


@pytest.fixture(autouse=True)
def watches_end(monkeypatch):
    """Ends all watches of a test: one that outlived it would go on calling its discovery, each time with a thread and two
    descriptors, and log its failures among those of the next tests."""
    made, make = [], EndpointWatch.__init__

    def noted(self, *words, **more):
        make(self, *words, **more)
        made.append(self)

    monkeypatch.setattr(EndpointWatch, "__init__", noted)
    yield
    for watch in made:
        watch.end()


def until_true(what, most=10.0):
    end = time.monotonic() + most
    while not (value := what()):
        assert time.monotonic() < end, "never came"
        time.sleep(0.005)
    return value


# The list.


class FaultyDiscovery(Listening):
    """Discovery's end, which does with each connection what its first step says, until it is well; then it tells the list."""

    def __init__(self, step, told=b""):
        self.step, self.told, self.well, self.calls = step, told, Event(), []
        self.met = Event()  # a call is in the state that the test is about
        self.listen()

    def serve(self, link):
        link.sock.settimeout(None)
        self.calls.append(time.monotonic())
        if self.well.is_set():
            link.hear()
            link.sock.sendall(HEAD + chunk(self.told))
            return self.well.wait()
        self.step(self, link)
        if not self.met.is_set():
            self.met.set()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def nothing(agent, link):
    agent.met.set()
    while link.hear() not in ("", "reset"):
        pass


def head_alone(agent, link):
    link.sock.sendall(HEAD)
    nothing(agent, link)


def trickle(agent, link):
    """Bytes come all the time, and never a word."""
    link.sock.sendall(HEAD)
    agent.met.set()
    try:
        while True:
            link.sock.sendall(chunk(b" "))
            time.sleep(0.05)
    except OSError:
        pass


def half_an_object(agent, link):
    link.sock.sendall(HEAD + chunk(changes(listed("s-0"))[:-9]))
    nothing(agent, link)


def broken_off(agent, link):
    link.sock.sendall(HEAD + chunk(changes(listed("s-0"))[:-9]))
    link.close()


def reset(agent, link):
    link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    link.close()


def error(agent, link):
    link.sock.sendall(b"HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")
    link.close()


def beat_then_silent(agent, link):
    link.sock.sendall(HEAD + chunk(b"\n"))
    nothing(agent, link)


def beat_then_trickle(agent, link):
    link.sock.sendall(HEAD + chunk(b"\n"))
    trickle(agent, link)


class WatchHarness:
    """A watch with no program behind it: what it tells waits in the queue."""

    def __init__(self, agent, limits=LIMITS, asked=False):
        self.inbox = Inbox(Clock())
        data = config_data([listed("s-0")])
        self.core = Core(build({}, data), None, Counters(), self.inbox.clock())
        registry = EndpointListDecoder(self.core.balancer.settings.zone and {} or {"a": 0, "b": 1})
        self.core.on_endpoints(self.inbox.clock(), *registry.decode(data["known"]))
        host, port = agent.address.split(":")
        self.watch = EndpointWatch(
            (host, int(port)), registry, self.core, self.inbox, limits, asked
        )

    def start(self):
        Thread(target=self.watch.run, daemon=True).start()

    def turn(self):
        """What the deciding thread does; the module asks for the list where that must be asked for."""
        while self.inbox.queue.qsize():
            at, call, words = self.inbox.queue.get()
            call(at, *words)

    def state(self, ident="s-0"):
        self.turn()
        return self.core.balancer.servers[server_number(ident)].state


STEPS = [
    nothing,
    head_alone,
    trickle,
    half_an_object,
    broken_off,
    reset,
    error,
    beat_then_silent,
    beat_then_trickle,
]


def test_the_update_budget_covers_silence_and_any_failed_call():
    # A watch that falls silent right after its beat is found out, and a call at once told; so is a change after a call that
    # was begun just before discovery was back, the longest pause after it included.
    assert LIMITS.list_silence_timeout + LIMITS.list_call_timeout <= LIMITS.list_update_budget
    assert (
        2 * LIMITS.list_call_timeout + LIMITS.max_list_retry_pause * 13 // 10
        <= LIMITS.list_update_budget
    )
    assert LIMITS.list_silence_timeout > 2 * 2 * SECOND  # two beats


@pytest.mark.parametrize("asked", [False, True])
def test_a_drain_is_known_within_six_seconds_from_any_instant_of_any_failed_call(asked):
    """All kinds of failure at once, each from the instant in which the call is in that state."""
    agents = [
        FaultyDiscovery(step, changes(listed("s-0", lifecycle="terminating"))) for step in STEPS
    ]
    watchings = [WatchHarness(agent, asked=asked) for agent in agents]
    for watching in watchings:
        watching.start()
        watching.watch.request_update()
    pending = []
    for agent, watching in zip(agents, watchings):
        assert agent.met.wait(5)
        agent.well.set()  # from now on discovery has it and can be reached
        pending.append((time.monotonic(), agent, watching))
    while pending:
        for entry in list(pending):
            began, agent, watching = entry
            took = time.monotonic() - began
            assert took < 6, f"{agent.step.__name__}: not told after {took:.1f} s"
            if watching.state() is ServerState.DRAINING:
                pending.remove(entry)
        time.sleep(0.02)
    for watching in watchings:
        watching.watch.end()


def test_a_call_that_never_comes_up_leaves_time_for_the_next():
    """The machine of discovery accepts no connection, so that setting it up hangs: the call has one time limit for all its phases."""
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    waiting = [socket.socket() for _ in range(4)]  # what it has room for, and more: the next hangs
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    began, failed = time.monotonic(), Event()
    agent = type("At", (), {"address": "127.0.0.1:%d" % full.getsockname()[1]})
    watching = WatchHarness(agent)
    watching.watch.on_failure = lambda now: failed.set()
    watching.start()
    until_true(lambda: (watching.turn(), failed.is_set())[1])
    assert time.monotonic() - began < LIMITS.list_call_timeout / SECOND + 0.5
    watching.watch.end()
    for sock in [*waiting, full]:
        sock.close()


@pytest.mark.parametrize("order", ["told first", "ended first"])
def test_a_drain_read_before_the_end_of_a_watch_counts_though_it_is_handled_after(order):
    # The drain had been read; that SIGHUP was handled before it must not drop it.
    watching = WatchHarness(type("At", (), {"address": "127.0.0.1:9"}))
    watch, now = watching.watch, watching.inbox.clock()
    word = watch.decoder.decode(
        json.loads(changes(listed("s-0", lifecycle="terminating"), listed("s-7")))
    )
    assert watching.state() is ServerState.READY
    if order == "told first":
        watch.on_update(now, *word, False)
        watch.end()
    else:
        watch.end()
        watch.on_update(now, *word, False)
        assert (
            server_number("s-7") not in watching.core.balancer.servers
        )  # that is the new address's to say
    # Nor does an old address bring back what drains.
    watch.on_update(now, *watch.decoder.decode(json.loads(changes(listed("s-0")))), False)
    assert watching.state() is ServerState.DRAINING


def test_a_server_withheld_twice_waits_from_the_second_time_on():
    # Two SIGHUPs in a row: the wait of the first must not end that of the second.
    bench = Bench(servers=2)

    def list_says(lifecycle, older):
        bench.tell(
            bench.core.on_endpoints,
            *bench.registry.decode({"instances": [listed("s-0", lifecycle=lifecycle)]}),
            older,
        )
        return bench.core.balancer.servers[server_number("s-0")].state

    list_says("terminating", False)
    assert list_says("in_service", True) is ServerState.DRAINING
    bench.pass_time(3 * SECOND)
    assert list_says("in_service", True) is ServerState.DRAINING
    bench.pass_time(3 * SECOND)
    assert bench.core.balancer.servers[server_number("s-0")].state is ServerState.DRAINING
    bench.pass_time(2 * SECOND)
    assert bench.core.balancer.servers[server_number("s-0")].state is ServerState.READY


@pytest.mark.parametrize("order", ["drain first", "line first"])
def test_an_attempt_that_dials_a_server_that_begins_to_drain_goes_elsewhere(order):
    # A dial may take longer than a server that drains goes on accepting first lines.
    bench = Bench(servers=3)
    session = bench.open(1)
    attempt = bench.sockets.out[session]
    if order == "drain first":
        bench.sockets.in_dial.add(attempt)
    name = next(f"s-{i}" for i in range(3) if server_number(f"s-{i}") == attempt.server.id)
    bench.tell(
        bench.core.on_endpoints,
        *bench.registry.decode({"instances": [listed(name, lifecycle="terminating")]}),
    )
    now_at = bench.sockets.out[session].server
    assert (
        (now_at is not attempt.server and now_at.state is ServerState.READY)
        if order == "drain first"
        else now_at is attempt.server
    )


@pytest.fixture
def start(tmp_path):
    programs = []

    def make(*servers, **more):
        programs.append(Started(tmp_path, servers, **more))
        return programs[-1]

    yield make
    for program in programs:
        program.process.kill()
        program.process.wait()


@pytest.mark.parametrize("again", ["file", "signal"])
def test_a_file_that_is_half_written_at_sighup_is_read_again(start, again):
    away, kept = Server(), Server()
    program = start(away, kept)
    new = Discovery(changes(listed("s-0", away.address, "terminating"), generation=41))
    whole = json.dumps(program.data | {"discovery": new.address})
    program.reload(whole[: len(whole) // 2])
    if again == "signal":
        program.reload(whole)
    else:
        program.file.write_text(whole)  # no further signal
    until_true(lambda: new.paths, 3)
    assert not away.openings
    for i in range(8):
        until_true(lambda: program.logged("event=reload"))
        assert program.open(f"h{i}").hear() == f"UP rh{i}"
    assert (
        len(kept.openings) + len(away.openings) == 8
        and "reload_failed" not in program.log.read_text()
    )


def test_a_file_that_stays_unreadable_is_given_up_and_logged_once(start):
    program = start(Server())
    program.reload("{")
    assert (
        program.logged("event=reload_failed")
        and program.log.read_text().count("reload_failed") == 1
    )
    assert program.open("u1").hear() == "UP ru1"


def test_sighup_and_sigterm_in_either_order_end_cleanly(start):
    for first, second in ((signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)):
        program = start(Server())
        client = program.open("x1")
        assert client.hear() == "UP rx1"
        program.process.send_signal(first)
        program.process.send_signal(second)
        assert client.hear() == "MOVE" and program.process.wait(5) == 0


def test_the_list_is_called_though_clients_hold_every_place(start):
    """All flows stand, the door is full of clients that say nothing, more wait behind it; then the watch is reset."""
    lost = Event()

    class Lost(Discovery):
        def serve(self, link):
            if self.paths:
                return super().serve(link)
            self.paths.append(link.hear().split(" ")[1])
            assert lost.wait(20)
            link.close()

    servers = [Server(), Server()]
    watched = Lost(changes(listed("s-0", servers[0].address, "terminating"), generation=9))
    program = start(
        *servers,
        watched=watched,
        sockets=256,
        command=("/bin/sh", "-c", f"ulimit -n 256; exec {sys.executable} -m cypresswalk"),
    )
    standing = []
    while (flow := program.open(f"d{len(standing)}")).hear().startswith("UP"):
        standing.append(flow)
    assert len(standing) == 96
    idle = [program.connect() for _ in range(80)]
    lost.set()
    until_true(lambda: len(watched.paths) > 1, 6)
    for flow in standing[:8]:
        flow.close()
    until_true(lambda: program.open(f"e{random.random()}").hear().startswith("UP"))
    before = len(servers[0].openings)
    for number in range(6):
        assert program.open(f"f{number}").hear().startswith("UP")
    assert len(servers[0].openings) == before  # its drain was told
    assert "Too many open files" not in program.log.read_text()
    for link in idle + standing:
        link.close()


def test_an_attempt_without_a_slot_is_known_not_to_have_run(monkeypatch):
    crossing = AttemptHarness(monkeypatch)
    crossing.link.limits = replace(crossing.limits, dial_timeout=50 * MILLISECOND)
    assert crossing.link.slots.acquire(blocking=False)
    crossing.run()
    assert crossing.posted() == [("on_attempt_ended", Outcome.MOOT)] and not crossing.began.is_set()


# Clients that leave.


class AttemptHarness:
    """One attempt at a server whose dial the test holds. No thread decides: what the attempt posts stays in the inbox."""

    def __init__(self, monkeypatch, effect=Effect.IDEMPOTENT):
        self.inbox, self.limits = Inbox(Clock()), replace(LIMITS, dial_timeout=SECOND)
        self.core = Core(
            build({}, config_data([listed("s-0")])), None, Counters(), self.inbox.clock()
        )
        near, self.far = socket.socketpair()
        tcp = socket.create_server(("127.0.0.1", 0))
        self.far = socket.create_connection(tcp.getsockname())
        near, _ = tcp.accept()
        tcp.close()
        self.client = ClientConnection(near, self.core, self.inbox, self.limits, {})
        self.server, self.written = socket.create_server(("127.0.0.1", 0)), b""
        self.began, self.go = Event(), Event()

        def held(address, span):
            sock = dial(address, span)
            self.began.set()
            assert self.go.wait(10)
            return sock

        monkeypatch.setattr(servers_module, "dial", held)
        session = self.client.session
        session.request = parse_open_request(b"OPEN a1 7 c=view,t=north,d=900")
        attempt = type("Attempt", (), {})()
        attempt.session, attempt.send_deadline, attempt.delay_gauge = (
            session,
            self.inbox.clock() + 60 * SECOND,
            type("G", (), {"on_setup": lambda *_: None})(),
        )
        self.attempt = attempt
        self.link = ServerConnection(
            attempt,
            self.server.getsockname(),
            b"OPEN a1 7 c=view,t=north,d=900\r\n",
            self.core,
            self.inbox,
            self.limits,
            Semaphore(1),
        )

    def run(self):
        self.thread = Thread(target=self.link.run, daemon=True)
        self.thread.start()

    def heard(self):
        """What the server reads up to the end of the connection."""
        sock, _ = self.server.accept()
        sock.settimeout(5)
        data = b""
        try:
            while more := sock.recv(4096):
                data += more
        except OSError:
            pass
        return data

    def posted(self):
        """By the link's thread, once it has ended."""
        self.thread.join(5)
        calls = []
        while self.inbox.queue.qsize():
            _, call, words = self.inbox.queue.get()
            calls.append((call.__name__, *words[1:]))
        return calls


def close(sock):
    sock.close()


def half_close(sock):
    sock.shutdown(socket.SHUT_WR)


def reset_it(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def close_behind_bytes(sock):
    sock.sendall(b"more than was asked for")
    sock.close()


@pytest.mark.parametrize("leave", [close, half_close, reset_it, close_behind_bytes])
def test_nothing_is_sent_for_a_client_that_left_before_the_core_knows(monkeypatch, leave):
    # The client's end waits in the inbox while its attempt comes up: no flow is forwarded for nobody.
    crossing = AttemptHarness(monkeypatch)
    crossing.run()
    assert crossing.began.wait(5)
    leave(crossing.far)
    until_true(crossing.client.has_ended)
    crossing.go.set()
    assert crossing.heard() == b"" and crossing.posted() == [("on_client_left",)]


def test_a_client_that_left_before_the_dial_costs_its_server_no_connection(monkeypatch):
    crossing = AttemptHarness(monkeypatch)
    crossing.far.close()
    until_true(crossing.client.has_ended)
    crossing.run()
    assert crossing.posted() == [("on_client_left",)] and not crossing.began.is_set()


def test_a_client_that_leaves_after_the_dial_has_had_its_line_sent_whole(monkeypatch):
    crossing = AttemptHarness(monkeypatch)
    crossing.run()
    crossing.go.set()
    sock, _ = crossing.server.accept()
    sock.settimeout(5)
    assert sock.recv(4096) == crossing.link.open_line
    crossing.far.close()
    sock.sendall(b"ERR\r\n")
    assert crossing.posted() == [("on_attempt_ended", Outcome.ERROR)]


def test_an_idempotency_window_that_ends_during_the_dial_keeps_the_line_back(monkeypatch):
    # The servers' memory of the first attempt has ended by then: a second one could take effect again.
    crossing = AttemptHarness(monkeypatch)
    crossing.attempt.send_deadline = crossing.inbox.clock() + 20 * MILLISECOND
    crossing.run()
    assert crossing.began.wait(5)
    until_true(lambda: crossing.inbox.clock() > crossing.attempt.send_deadline)
    crossing.go.set()
    assert crossing.heard() == b"" and crossing.posted() == [("on_attempt_ended", Outcome.MOOT)]
    assert not crossing.link.cancel_unsent()


@pytest.mark.parametrize("first", ["drop", "dial"])
def test_an_attempt_that_is_dropped_as_it_comes_up_sends_all_or_nothing(monkeypatch, first):
    crossing = AttemptHarness(monkeypatch)
    crossing.run()
    assert crossing.began.wait(5)
    if first == "drop":
        crossing.link.close()
        crossing.go.set()
        assert crossing.heard() == b""
    else:
        crossing.go.set()
        until_true(lambda: crossing.link.sent)
        assert not crossing.link.cancel_unsent()
        crossing.link.close()
        assert crossing.heard() in (b"", crossing.link.open_line)
    crossing.thread.join(5)
    assert not crossing.thread.is_alive()


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (b"UP\r\n", Outcome.ERROR),
        (b"UP \r\n", Outcome.ERROR),
        (b"UPPER 7\r\n", Outcome.ERROR),
        (b"UP \x01\x02\r\n", Outcome.ERROR),
        (b"NO\r\n", Outcome.ERROR),
        (b"SYNTAX\r\n", Outcome.ERROR),
        (b"BUSY\r\n", Outcome.FULL),
        (b"BUS", Outcome.RESET),
        (b"UP 7", Outcome.RESET),
        (b"x" * 5000, Outcome.RESET),
        (b"", Outcome.RESET),
        (b"BYE\r\n", Outcome.OK),
    ],
)
def test_an_answer_that_is_no_acceptance_is_never_relayed(monkeypatch, answer, outcome):
    crossing = AttemptHarness(monkeypatch)
    crossing.run()
    crossing.go.set()
    sock, _ = crossing.server.accept()
    sock.recv(4096)
    sock.sendall(answer)
    sock.close()
    assert crossing.posted() == [("on_attempt_ended", outcome)]


def test_decisions_go_on_while_a_server_reads_nothing(monkeypatch):
    # `drop` and `recall`, which the deciding thread calls, must not wait for the first line to be written.
    crossing = AttemptHarness(monkeypatch)
    crossing.link.open_line = b"x" * (64 << 20)  # more than any buffer takes
    crossing.run()
    crossing.go.set()
    sock, _ = crossing.server.accept()
    until_true(lambda: crossing.link.sent)
    began = time.monotonic()
    assert not crossing.link.cancel_unsent()
    crossing.link.close()
    assert time.monotonic() - began < 1
    assert crossing.posted()[:1] == [
        ("on_attempt_ended", Outcome.CONNECT_FAILED)
    ]  # its last byte never went out
    sock.close()


class UnreadingServer(Server):
    """Takes flows, and then reads nothing any more."""

    def serve(self, link):
        while (line := link.hear()) not in ("", "reset"):
            if line == "PING":
                link.say("PONG")
            else:
                self.openings.append(line)
                link.say("UP r" + line.split(" ")[1])
                Event().wait(20)


def test_decisions_go_on_while_a_server_and_a_client_read_nothing(start):
    talker, deaf = Server(), UnreadingServer()
    program, held = start(talker, deaf), []
    while not (talker.openings and deaf.openings):
        held.append(program.open(f"n{len(held)}"))
        assert held[-1].hear().startswith("UP")
    at = {line.split(" ")[1]: server for server in (talker, deaf) for line in server.openings}
    stuck = [
        next(link for number, link in enumerate(held) if at[f"n{number}"] is server)
        for server in (talker, deaf)
    ]
    stuck[0].say("STREAM")  # its client reads none of it
    stuck[1].sock.settimeout(0.5)
    with pytest.raises(TimeoutError):
        while True:  # its server reads none of it
            stuck[1].sock.sendall(b"M " + b"x" * 1000 + b"\r\n")
    for number in range(20):
        began = time.monotonic()
        assert program.open(f"o{number}").hear().startswith("UP") and time.monotonic() - began < 1
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(5) == 0


def test_short_of_descriptors_no_server_is_blamed(monkeypatch):
    crossing = AttemptHarness(monkeypatch)

    def short(address, span):
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(servers_module, "dial", short)
    crossing.run()
    assert crossing.posted() == [("on_attempt_ended", Outcome.MOOT)]


# The stop.


class InProcessProgram:
    """The program in this process: its threads can be held at a point."""

    def __init__(self, tmp_path, *servers, **settings):
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        data = config_data(
            [listed(f"s-{i}", s.address) for i, s in enumerate(servers)],
            "127.0.0.1:%d" % self.address[1],
            Discovery().address,
            **settings,
        )
        file = tmp_path / "config.json"
        file.write_text(json.dumps(data))
        self.program = Program(build({"PROXY_CONFIG": str(file)}, data))
        self.thread = Thread(target=self.program.run, daemon=True)

    def start(self):
        self.thread.start()
        return self

    def connect(self):
        return Lines(socket.create_connection(self.address))

    def open(self, ident, wait=800):
        link = self.connect()
        link.say(f"OPEN {ident} 77 c=view,t=north,d={wait}")
        return link

    def stop(self):
        self.program.inbox.post(self.program.stop)

    def ended(self):
        self.thread.join(8)
        return not self.thread.is_alive()


def held_accept(program):
    """Holds the thread that accepts at its next client; what it does when it ends goes on."""
    at, go = Event(), Event()
    take = program.listener.admit

    def held(sock):
        at.set()
        assert go.wait(20)
        take(sock)

    program.listener.admit = held
    return at, go


def test_what_the_machine_has_accepted_by_the_end_is_answered(tmp_path):
    # The accepting thread stands still up to the end of the stop; all that wrote their lines by then wait in the backlog.
    server = Server()
    here = InProcessProgram(tmp_path, server).start()
    at, go = held_accept(here.program)
    first = here.open("a0")
    assert at.wait(5)
    waiting = [here.open(f"a{i}", 4000) for i in range(1, 12)]
    resting = [here.connect() for _ in range(4)]
    here.stop()
    until_true(lambda: here.program.core.lifecycle.stopped)
    go.set()
    assert here.ended()
    for link in [first, *waiting]:
        assert [link.hear(), link.hear()] == ["BUSY", ""]
    for link in resting:
        assert [link.hear(), link.hear()] == ["BUSY", ""]
    assert server.openings == []
    with pytest.raises(ConnectionRefusedError):
        here.connect()


def test_the_backlog_is_answered_even_without_a_slot(tmp_path):
    server = Server()
    here = InProcessProgram(tmp_path, server, sockets=64).start()
    at, go = held_accept(here.program)
    first = here.open("b0")
    assert at.wait(5)
    while here.program.listener.slots.acquire(blocking=False):
        pass
    waiting = [here.open(f"b{i}", 4000) for i in range(1, 9)]
    here.stop()
    until_true(lambda: here.program.core.lifecycle.stopped)
    go.set()
    assert here.ended()
    assert [link.hear() for link in waiting] == ["BUSY"] * 8 and first.hear() == "BUSY"


def test_a_resting_connection_gets_one_answer_at_the_end_whichever_comes_first(tmp_path):
    """A request in the very instant in which the balancer ends a connection that rests: its line is read before that and
    served or refused, or it meets the no; it is never sent on after it."""
    server = Server()
    here = InProcessProgram(tmp_path, server).start()
    resting = [here.connect() for _ in range(6)]
    for link in resting:
        link.say("PING")
        assert link.hear() == "PONG"
    ends = []
    send_off = here.program.listener.dismiss_unopened

    def crossing():
        """In the instant before the door is cleared half of them speak, the other half right after."""
        if not ends:
            for number, link in enumerate(resting[:3]):
                link.say(f"OPEN r{number} 77 c=view,t=north,d=900")
            ends.append(True)
        send_off()
        if len(ends) == 1:
            for number, link in enumerate(resting[3:], 3):
                try:
                    link.say(f"OPEN r{number} 77 c=view,t=north,d=900")
                except OSError:
                    pass
            ends.append(True)

    here.program.listener.dismiss_unopened = crossing
    here.stop()
    assert here.ended()
    assert len(ends) == 2
    assert [link.hear() for link in resting] == ["BUSY"] * 6
    assert server.openings == []


def test_flows_whose_server_hangs_are_answered_before_the_end_and_nothing_follows(tmp_path):
    servers = [Server("silent"), Server("silent")]
    here = InProcessProgram(tmp_path, *servers).start()
    flows = [here.open(f"c{i}", 900) for i in range(6)]
    until_true(lambda: sum(len(s.openings) for s in servers) >= 6)
    here.stop()
    late = here.open("c9", 900)
    assert [link.hear() for link in [*flows, late]] == ["BUSY"] * 7
    assert here.ended()
    sent = sum(len(s.openings) for s in servers)
    time.sleep(0.1)
    assert sum(len(s.openings) for s in servers) == sent


def test_a_pending_flow_whose_deadline_is_moved_up_is_answered_by_then():
    # Not only when the flow would have been looked at anyway, which may be after the end of a stop.
    ledger = SimulatedHost(1)
    flows = [ledger.arrive() for _ in range(5)]
    held = [flow for flow in flows if flow.server is None]
    assert len(held) == 1 and held[0].id in ledger.open  # four set-ups are out; it waits for them
    held[0].deadline = ledger.now + 50 * MILLISECOND
    ledger.pull()
    assert ledger.wakeup_at <= held[0].deadline
    ledger.now = ledger.wakeup_at
    ledger.balancer.on_wakeup(ledger.now)
    ledger.pull()
    assert ledger.answers[held[0].id] == "reject"


def test_a_signal_to_end_is_acted_on_from_the_listening_socket_on(tmp_path):
    """Told to end between its first listening and its first decision: who comes in that moment is answered."""
    code = (
        "import os, signal, sys; from cypresswalk.service import program as p\n"
        "class P(p.Program):\n"
        "    def __init__(self, *words):\n"
        "        super().__init__(*words)\n"
        "        os.kill(os.getpid(), signal.SIGTERM)\n"
        "        sys.stdin.read(1)\n"
        "sys.exit(p.main(made=P))\n"
    )
    server = Server()
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = free.getsockname()
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps(
            config_data(
                [listed("s-0", server.address)], "127.0.0.1:%d" % address[1], Discovery().address
            )
        )
    )
    process = subprocess.Popen(
        (sys.executable, "-c", code),
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"PROXY_CONFIG": str(file)},
    )
    try:

        def accepted():
            try:
                return Lines(socket.create_connection(address))
            except ConnectionRefusedError:
                assert process.poll() is None

        client = until_true(accepted)
        client.say("OPEN t1 77 c=view,t=north,d=900")
        process.stdin.write(b"x")  # the start goes on
        process.stdin.flush()
        assert [client.hear(), client.hear(), client.hear()] == ["UP rt1", "MOVE", ""]
        assert process.wait(8) == 0
    finally:
        process.kill()
        process.wait()


def test_two_signals_to_end_are_one(start):
    program = start(Server())
    client = program.open("s1")
    assert client.hear() == "UP rs1"
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGTERM)
    assert client.hear() == "MOVE" and program.process.wait(5) == 0


# Outcomes against the attempt timeout, in one turn of the event loop.


@pytest.mark.parametrize("order", ["up first", "late first"])
def test_up_and_the_attempt_timeout_in_one_turn_leave_one_answer(order):
    bench = Bench()
    session = bench.open(1)
    attempt = bench.sockets.out[session]
    bench.now = attempt.session.flow.deadline - (1 if order == "up first" else 0)
    steps = [
        lambda: bench.core.on_established(bench.now, attempt),
        lambda: bench.core.timers.run_due(bench.now),
    ]
    for step in steps if order == "up first" else reversed(steps):
        step()
    bench.now = attempt.session.flow.deadline
    bench.step()
    assert bench.sockets.answers[session] == (b"UP" if order == "up first" else b"BUSY\r\n")


@pytest.mark.parametrize("seed", range(20))
def test_whatever_crosses_in_one_turn_each_flow_has_one_answer_or_none_for_who_left(seed):
    chance = random.Random(f"crossings {seed}")
    bench = Bench()
    sessions = [bench.open(number) for number in range(1, 7)]
    for _ in range(60):
        events = []

        def end(attempt):
            bench.sockets.close_attempt(attempt)
            bench.core.on_attempt_ended(
                bench.now,
                attempt,
                chance.choice([Outcome.RESET, Outcome.FULL, Outcome.CONNECT_FAILED]),
            )

        for session, attempt in list(bench.sockets.out.items()):
            events.append(
                chance.choice(
                    [
                        lambda attempt=attempt: bench.core.on_established(bench.now, attempt),
                        lambda attempt=attempt: end(attempt),
                        lambda session=session: bench.core.on_client_left(bench.now, session),
                        lambda: None,
                    ]
                )
            )
            if chance.random() < 0.5:
                events.append(lambda session=session: bench.core.on_client_left(bench.now, session))
        chance.shuffle(events)
        bench.now += chance.randrange(100 * MILLISECOND)
        for act in events:
            act()
        bench.step()
    bench.pass_time(2 * SECOND)
    left = [session for session in sessions if session not in bench.sockets.answers]
    assert all(session.finished for session in left) and not bench.sockets.out


def test_an_attempt_that_still_dials_at_its_timeout_is_known_not_to_have_run():
    bench = Bench()
    session = bench.open(1, "c=book,t=north,d=900")
    bench.sockets.in_dial.add(bench.sockets.out[session])
    bench.pass_time(SECOND)
    assert (
        bench.sockets.answers[session] == b"BUSY\r\n"
    )  # once-only: a yes to another try, since nothing ran
    other = bench.open(2, "c=book,t=north,d=900")
    bench.pass_time(SECOND)
    assert bench.sockets.answers[other] == b"ERR\r\n"
