"""The fault proxy on sockets: ends pass as they came, a seed repeats its faults, and the command."""

import json
import socket
import subprocess
import sys
import time
from threading import Thread

import pytest

from cypresswalk import toml
from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import Plan, Replay
from cypresswalk.faults.proxy_thread import ProxyThread


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


def test_time_passes_only_as_the_plan_says(target):
    with ProxyThread(target, plan({"kind": "delay", "ms": 200, "direction": "up"})) as proxy:
        sock, began = dial(proxy.address), time.monotonic()
        sock.sendall(b"a")
        assert sock.recv(1) == b"a" and time.monotonic() - began >= 0.2
        sock.close()
