"""Fault injection: what each fault does to bytes, that a seed repeats it, and that ends pass as they came."""

import json
import socket
import subprocess
import sys
import time
from threading import Thread

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresswalk import toml
from cypresswalk.faults.datagram_stream import DatagramStream
from cypresswalk.faults.kinds import NEEDS, STREAMS, Fault, Kind
from cypresswalk.faults.plan import Plan, Replay, read, read_record
from cypresswalk.faults.proxy_thread import ProxyThread
from cypresswalk.faults.stream import Close, Finish, Reset, Stream, Write
from cypresswalk.refusal import CommandError

MILLISECOND = 1_000_000


def fault(kind, at=0, **more):
    return Fault(1, "up", at, kind, **more)


def play(faults, pieces, ended=True):
    """What comes out: bytes, how it ends, the faults done, and the steps."""
    done, steps = [], []
    stream = Stream(faults, done.append)
    steps += stream.start(0)
    for i, piece in enumerate(pieces):
        steps += stream.feed(i, piece)
    if ended:
        steps += stream.end(len(pieces))
    elif stream.due() is not None:
        steps += stream.wake(stream.due())
    assert all(a.at <= b.at for a, b in zip(steps, steps[1:]))
    data = b"".join(step.data for step in steps if isinstance(step, Write))
    return data, [type(s) for s in steps if not isinstance(s, Write)], done, steps


def one_of_each(draw):
    kind = draw(st.sampled_from(sorted(STREAMS)))
    values = {name: draw(st.integers(1, 12)) for name in NEEDS.get(kind, ())}
    return Fault(
        1,
        "up",
        draw(st.integers(0, 40)),
        kind,
        **values,
        mask=draw(st.integers(1, 99)) * (kind is Kind.GARBLE),
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_fed_a_byte_at_a_time_and_all_at_once_the_same_comes_out(data):
    faults = [one_of_each(data.draw) for _ in range(data.draw(st.integers(0, 5)))]
    said = data.draw(st.binary(max_size=60))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(said)), max_size=5)))
    pieces = [said[a:b] for a, b in zip([0, *cuts], [*cuts, len(said)])]
    whole = play(faults, [said])[:3]
    assert play(faults, [bytes([byte]) for byte in said])[:3] == whole
    assert play(faults, pieces)[:3] == whole


@pytest.mark.parametrize(
    "faults, out, ends",
    [
        ([], b"OPEN a b\r\n", [Finish]),
        ([fault(Kind.CUT, 4)], b"OPEN", [Reset]),
        ([fault(Kind.CUT, 10)], b"OPEN a b\r\n", [Reset]),  # between the last byte and the answer
        ([fault(Kind.CUT, 0)], b"", [Reset]),
        ([fault(Kind.CUT, 11)], b"OPEN a b\r\n", [Finish]),  # a place that is never reached
        ([fault(Kind.TRUNCATE, 6)], b"OPEN a", [Close]),
        ([fault(Kind.HALF_CLOSE, 6)], b"OPEN a", [Finish]),
        ([fault(Kind.BLACK_HOLE, 6)], b"OPEN a", []),
        ([fault(Kind.DROP, 4, size=2)], b"OPEN b\r\n", [Finish]),
        ([fault(Kind.JOIN, 0, size=8, ms=5), fault(Kind.CUT, 9)], b"OPEN a b\r", [Reset]),
    ],
)
def test_each_fault_is_injected_at_its_byte(faults, out, ends):
    data, how, done, _ = play(faults, [b"OPEN a b\r\n"])
    assert (data, how) == (out, ends)
    assert set(done) == {f for f in faults if f.at <= 10}


def test_garbled_bytes_all_differ_and_a_split_line_comes_in_parts():
    said = bytes(range(40))
    data, _, _, steps = play(
        [fault(Kind.GARBLE, 10, size=8, mask=5), fault(Kind.SPLIT, 8, size=4, ms=2)], [said]
    )
    assert [a == b for a, b in zip(data, said)] == [True] * 10 + [False] * 8 + [True] * 22
    writes = [step for step in steps if isinstance(step, Write)]
    assert [len(w.data) for w in writes[:3]] == [8, 2, 2] or [len(w.data) for w in writes[1:3]] == [
        2,
        2,
    ]
    assert writes[-1].at - writes[1].at >= 6 * 2 * MILLISECOND


def test_delay_latency_and_throttle_say_when():
    times = [step.at for step in play([fault(Kind.DELAY, 2, ms=5)], [b"abcd"])[3]]
    assert times == [0, 5 * MILLISECOND, 5 * MILLISECOND]
    assert [s.at for s in play([fault(Kind.LATENCY, 0, ms=5)], [b"a", b"b"])[3]][:2] == [
        5000000,
        5000001,
    ]
    times = [s.at for s in play([fault(Kind.THROTTLE, 0, rate=1000)], [b"a" * 100, b"b"])[3]]
    assert times[1] - times[0] == 100 * MILLISECOND


def test_datagrams_are_dropped_duplicated_and_swapped_by_their_number():
    plan = {
        1: [fault(Kind.DROP, 1)],
        2: [fault(Kind.DUPLICATE, 2)],
        3: [fault(Kind.SWAP, 3)],
        5: [fault(Kind.DELAY, 5, ms=7)],
        6: [fault(Kind.TRUNCATE, 6)],
    }
    stream, out = DatagramStream(lambda n: plan.get(n, []), lambda f: None), []
    for i in range(7):
        out += stream.feed(0, b"%d%d" % (i, i))
    assert [w.data for w in out] == [b"00", b"22", b"22", b"44", b"33", b"55", b"6"]
    assert [w.at for w in out] == [0] * 5 + [7 * MILLISECOND, 0]


# On sockets.


def echo(sock):
    """Says back what it hears, and `bye` at the end of the stream."""
    try:
        while data := sock.recv(4096):
            sock.sendall(data)
        sock.sendall(b"bye")
    except OSError:
        pass
    sock.close()


@pytest.fixture
def target():
    listener = socket.create_server(("127.0.0.1", 0))

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            Thread(target=echo, args=(sock,), daemon=True).start()

    Thread(target=accept, daemon=True).start()
    yield listener.getsockname()
    listener.close()


def dial(address):
    sock = socket.create_connection(address)
    sock.settimeout(5)
    return sock


def hear(sock):
    """All up to the end, and how it ended."""
    data = b""
    try:
        while piece := sock.recv(4096):
            data += piece
        return data, "end"
    except ConnectionResetError:
        return data, "reset"
    finally:
        sock.close()


def plan(*faults, **more):
    return toml.decode({"fault": list(faults)} | more, Plan, "test")


def test_a_half_close_while_data_is_in_flight_lets_it_arrive_first(target):
    with ProxyThread(target, plan({"kind": "latency", "ms": 30})) as proxy:
        sock = dial(proxy.address)
        sock.sendall(b"x" * 50_000)
        sock.shutdown(socket.SHUT_WR)  # at once: all of it is still on its way
        assert hear(sock) == (b"x" * 50_000 + b"bye", "end")


def test_two_proxies_in_a_chain_pass_resets_and_ends(target):
    with (
        ProxyThread(target) as near,
        ProxyThread(near.address, plan({"connection": 2, "kind": "cut", "at": 3})) as far,
    ):
        sock = dial(far.address)
        sock.sendall(b"abc")
        sock.shutdown(socket.SHUT_WR)
        assert hear(sock) == (b"abcbye", "end")
        sock = dial(far.address)
        sock.sendall(b"abc")
        assert hear(sock)[1] == "reset"
        assert far.record.text().count("\n") >= 1 and near.record.text() == ""


def test_a_refused_connection_is_a_reset():
    with socket.create_server(("127.0.0.1", 0)) as free:
        nobody = free.getsockname()
    with ProxyThread(nobody) as proxy:
        sock = dial(proxy.address)
        sock.settimeout(5)
        assert hear(sock) == (b"", "reset")


def test_an_answer_before_a_reset_is_passed_on_though_writes_fail_first():
    """The reader of a proxy that met the reset by a write must not lose what waited to be read."""
    listener = socket.create_server(("127.0.0.1", 0))
    with (
        listener,
        ProxyThread(
            listener.getsockname(), plan({"kind": "latency", "direction": "up", "ms": 150})
        ) as proxy,
    ):
        for _ in range(3):
            client = dial(proxy.address)
            server, _ = listener.accept()
            client.sendall(b"late ")
            server.sendall(b"BUSY\r\n")
            server.close()
            assert client.recv(100) == b"BUSY\r\n"
            client.close()


def lockstep(address, seed):
    """The same bytes in the same order, however long each takes."""
    sock, heard = dial(address), []
    sock.settimeout(0.3)
    try:
        for i in range(6):
            sock.sendall(b"M %d %d\r\n" % (seed, i))
            got = sock.recv(4096)
            heard.append(got)
            if not got:
                break
    except OSError:
        pass
    sock.close()
    return heard


CHANCE = {
    "random": [
        {
            "chance": 0.7,
            "kinds": ["garble", "split", "delay", "drop", "throttle"],
            "direction": "up",
            "within": 40,
            "ms": [1, 3],
            "rate": [5000, 9000],
        },
        {
            "chance": 0.3,
            "kinds": ["cut", "truncate", "half_close"],
            "direction": "up",
            "within": 60,
        },
    ]
}


def test_the_same_seed_gives_the_same_record_for_fifty_seeds_and_a_record_replays(target):
    texts = set()
    for seed in range(50):
        runs = []
        for again in range(2):
            with ProxyThread(target, plan(**CHANCE), seed) as proxy:
                for _ in range(3):
                    lockstep(proxy.address, seed)
            runs.append(proxy.record.text())
        assert runs[0] == runs[1], f"seed {seed}"
        texts.add(runs[0])
        if seed < 5:
            faults = [
                Fault(**json.loads(line) | {"kind": Kind(json.loads(line)["kind"])})
                for line in runs[0].splitlines()
            ]
            with ProxyThread(target, Replay(faults), 99) as proxy:
                for _ in range(3):
                    lockstep(proxy.address, seed)
            assert proxy.record.text() == runs[0], f"replay of seed {seed}"
    assert len(texts) > 40


def test_udp_passes_both_ways_and_loses_what_it_should():
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(("127.0.0.1", 0))
    client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with (
        server,
        client,
        ProxyThread(
            server.getsockname(),
            toml.decode(
                {
                    "datagram": [
                        {"kind": "drop", "direction": "up", "at": 1},
                        {"kind": "duplicate", "direction": "down", "at": 0},
                    ]
                },
                Plan,
                "test",
            ),
            udp=True,
        ) as proxy,
    ):
        server.settimeout(5)
        client.settimeout(5)
        for word in (b"0", b"1", b"2"):
            client.sendto(word, proxy.address)
        heard = [server.recvfrom(10) for _ in range(2)]
        assert [word for word, _ in heard] == [b"0", b"2"]
        server.sendto(b"back", heard[0][1])
        assert [client.recv(10), client.recv(10)] == [b"back", b"back"]


# The plan and the command.


@pytest.mark.parametrize(
    "text, line",
    [
        ("fault = 3", "fault: input should be a valid list"),
        ('[[fault]]\nkind = "explode"', "fault[0].kind: input should be 'cut', 'truncate'"),
        (
            '[[fault]]\nkind = "cut"\nat = -1',
            "fault[0].at: input should be greater than or equal to 0, not -1",
        ),
        (
            '[[fault]]\nkind = "cut"\nconnection = 0',
            "fault[0].connection: connections count from 1",
        ),
        ('[[fault]]\nkind = "cut"\nms = 3', "fault[0]: cut takes no ms"),
        ('[[fault]]\nkind = "garble"', "fault[0]: garble needs size above 0"),
        ('[[fault]]\nkind = "cut"\nwher = 3', "fault[0].wher: no such field"),
        (
            '[[random]]\nkinds = ["cut"]\nchance = 1.5',
            "random[0].chance: input should be less than or equal to 1, not 1.5",
        ),
        (
            '[[random]]\nkinds = ["cut"]\nchance = 1\nms = [5, 2]',
            "random[0].ms: a range is [least, most]",
        ),
        ('[[fault]]\nkind = "swap"', "fault[0]: swap is not one of"),
        ('[[datagram]]\nkind = "cut"', "datagram[0]: cut is not one of"),
        ("fault = [", "not TOML: "),
        ("\xff", "not TOML: "),
    ],
)
def test_an_invalid_plan_is_refused_by_one_line(tmp_path, text, line):
    file = tmp_path / "plan.toml"
    file.write_bytes(text.encode("latin-1"))
    with pytest.raises(CommandError) as refusal:
        read(file)
    said = str(refusal.value)
    assert said.startswith(f"{file}: {line}") and "\n" not in said


def test_an_invalid_record_is_refused_by_one_line(tmp_path):
    file = tmp_path / "record"
    file.write_text(
        fault(Kind.CUT).line() + '\n{"connection":0,"direction":"up","at":1,"kind":"cut"}\n'
    )
    with pytest.raises(
        CommandError, match="line 2: connection: input should be greater than or equal to 1, not 0"
    ):
        read_record(file)


def test_the_command_prints_injected_faults_and_names_those_never_reached(tmp_path, target):
    (tmp_path / "plan.toml").write_text(
        '[[fault]]\nkind = "cut"\nconnection = [1, 9]\ndirection = "up"\nat = 4\n'
    )
    command = [
        sys.executable,
        "-m",
        "cypresswalk",
        "faults",
        "--listen",
        "127.0.0.1:0",
        "--to",
        "%s:%d" % target,
    ]
    process = subprocess.Popen(
        [*command, "--plan", tmp_path / "plan.toml", "--record", tmp_path / "record"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        port = int(process.stderr.readline().rpartition(":")[2])
        sock = dial(("127.0.0.1", port))
        sock.sendall(b"abcdef")
        assert hear(sock)[1] == "reset"
        taken = subprocess.run(
            [*command[:5], f"127.0.0.1:{port}", *command[6:]], capture_output=True, text=True
        )
        assert taken.returncode == 2 and taken.stderr.startswith(f"--listen 127.0.0.1:{port}: ")
        assert taken.stderr.count("\n") == 1
        process.send_signal(2)
        out, err = process.communicate(timeout=10)
    finally:
        process.kill()
    line = '{"connection":1,"direction":"up","at":4,"kind":"cut"}\n'
    assert out == line and (tmp_path / "record").read_text() == line
    assert err == "cut at 4: connection 9 never came, 1 did\n" and process.returncode == 0


def imported(*words):
    run = subprocess.run(
        [sys.executable, "-X", "importtime", *words],
        capture_output=True,
        text=True,
        env={"PATH": ""},
    )
    return run, {
        line.rpartition("|")[2].strip()
        for line in run.stderr.splitlines()
        if line.startswith("import time:")
    }


def test_the_balancer_without_arguments_imports_the_standard_library_alone():
    """Guards the platform's 32 MB, and its start, against what the commands need."""
    run, names = imported("-m", "cypresswalk")
    assert (
        run.returncode == 1
        and "PROXY_CONFIG is not set" in run.stderr
        and "cypresswalk.service.program" in names
    )
    own = {name for name in names if name.startswith("cypresswalk")}
    allowed = (
        "cypresswalk.net",
        "cypresswalk.service",
        "cypresswalk.decisions",
        "cypresswalk.measures",
        "cypresswalk.model",
        "cypresswalk.hosting",
    )
    assert all(name == "cypresswalk" or name.startswith(allowed) for name in own), own
    before = imported("-c", "pass")[1]  # what the interpreter and its environment bring themselves
    # `org`: what the standard library's pickle tries for another interpreter, and does not find.
    assert {name.split(".")[0] for name in names - own - before} <= set(sys.stdlib_module_names) | {
        "org"
    }


def test_time_passes_only_as_the_plan_says(target):
    with ProxyThread(target, plan({"kind": "delay", "ms": 200, "direction": "up"})) as proxy:
        sock, began = dial(proxy.address), time.monotonic()
        sock.sendall(b"a")
        assert sock.recv(1) == b"a" and time.monotonic() - began >= 0.2
        sock.close()
