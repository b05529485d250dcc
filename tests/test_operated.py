"""Starts the program as operators run it day by day, and calls it over sockets."""

import json
import os
import socket
import subprocess
import sys
import time
from threading import Thread

import pytest
from helpers import config_data
from test_sockets import ROOT, Lines, Program, Server, start  # noqa: F401 (a fixture)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


class Operated:
    """What an operator types, at one process."""

    def __init__(self, port: int):
        self.port = port

    def hang(self) -> Lines:
        return Lines(socket.create_connection(("127.0.0.1", self.port)))

    def call(self, text: str) -> list[str]:
        link = self.hang()
        link.say(text)
        heard = [link.hear()]
        while heard[-1] not in ("", "reset"):
            heard.append(link.hear())
        link.close()
        return heard[:-1]


@pytest.fixture
def operated(start):  # noqa: F811 (the fixture itself)
    def make(*servers, **more) -> tuple[Program, Operated]:
        port = free_port()
        return start(
            *servers, environment={"PROXY_ADMIN_ADDR": f"127.0.0.1:{port}"}, **more
        ), Operated(port)

    return make


def test_calls_are_answered_while_callers_hang_and_say_what_is_none(operated):
    program, operator = operated(Server(), sockets=64)
    hung = [operator.hang() for _ in range(40)]
    for link in hung[::2]:
        link.sock.sendall(b"chec")
    began = time.monotonic()
    assert operator.call("check") == ["OK"]
    for odd in ("", "chek", "check now", "set-down nobody", "x" * 6000, "check\r\nvars"):
        (answer,) = operator.call(odd)
        assert answer.startswith("ERR ") and len(answer) > 8
    assert time.monotonic() - began < 2 and program.open("a1").hear() == "UP ra1"
    assert operator.call("check") == ["OK"]
    for link in hung:
        link.close()


def test_a_call_is_answered_within_a_second_under_a_crowd(operated):
    program, operator = operated(Server(), Server(), sockets=1024)

    def crowd():
        for i in range(300):
            link = program.connect()
            link.say(f"OPEN c{i} 77 c=view,t=north,d=900")
            links.append(link)

    links, waits = [], []
    clients = Thread(target=crowd)
    clients.start()
    while clients.is_alive() or len(waits) < 5:
        began = time.monotonic()
        figures, end = operator.call("vars")
        waits.append(time.monotonic() - began)
        assert end == "END" and json.loads(figures)["registry_entries"] == 2
    clients.join()
    assert max(waits) < 1
    heard = [link.hear().split(" ")[0] for link in links]
    time.sleep(0.3)
    told = json.loads(operator.call("vars")[0])
    assert (told["fulfilled"]["view"], told["throttled"]["view"]) == (
        heard.count("UP"),
        heard.count("BUSY"),
    )
    assert told["open_requests"] == heard.count("UP") <= told["relayed"]
    for link in links:
        link.close()


def test_drained_it_says_no_to_the_front_and_moves_its_clients_and_then_says_yes_again(operated):
    program, operator = operated(Server(), Server())
    clients = [program.open(f"d{i}") for i in range(5)]
    assert {client.hear().split(" ")[0] for client in clients} == {"UP"}
    began = time.monotonic()
    assert operator.call("drain-on") == ["OK"]
    front = program.connect()
    front.say("PING")
    assert front.hear() == "ERR"
    assert [(client.hear(), client.hear()) for client in clients] == [
        ("MOVE", "")
    ] * 5 and time.monotonic() - began < 3.5
    assert operator.call("drain-off") == ["OK"]
    front = program.connect()
    front.say("PING")
    assert front.hear() == "PONG" and program.open("e1").hear() == "UP re1"


def test_without_the_address_nothing_of_it_is_imported_and_an_unusable_one_ends_the_start(
    tmp_path,
    start,  # noqa: F811 (the fixture itself)
):
    file = tmp_path / "odd.json"
    file.write_text(json.dumps(config_data()))
    for odd, says in (
        ("nowhere", "admin_addr: 'nowhere' is no IPv4 address and port"),
        ("127.0.0.1:1x", "admin_addr"),
        ("192.0.2.1:9", "cypresswalk: "),
    ):
        done = subprocess.run(
            [sys.executable, "-m", "cypresswalk"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            env=os.environ | {"PROXY_CONFIG": str(file), "PROXY_ADMIN_ADDR": odd},
        )
        assert done.returncode == 1 and says in done.stderr and done.stderr.count("\n") == 1
    probe = (
        "import sys, threading; from cypresswalk.service import program; from cypresswalk.net.config import load;"
        "import os; p = program.Program(load(dict(os.environ)));"
        "print(p.admin, [m for m in sys.modules if m.endswith(('net.admin', 'net.handover'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", probe],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=20,
        env=os.environ | {"PROXY_CONFIG": str(file)},
    )
    assert done.stdout == "None []\n"
