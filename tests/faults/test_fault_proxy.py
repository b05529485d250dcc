"""The fault proxy on sockets: it forwards ends and resets, and a seed repeats its faults."""

import asyncio
import json
import socket
import time
from collections.abc import Iterator

import pytest
from fault_helpers import (
    GOODBYE,
    READ_SIZE,
    SOCKET_TIMEOUT_S,
    Address,
    connect,
    echo_server,
    fault_plan,
    read_to_end,
)

from cypresswalk import toml
from cypresswalk.faults.connection import LINGER_ZERO, Connection
from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import Plan, Replay
from cypresswalk.faults.proxy import Proxy
from cypresswalk.faults.proxy_thread import ProxyThread

SEEDS = 50
REPLAYED_SEEDS = 5
LATE_CONNECT_S = 0.1
CONNECTIONS = 3
RANDOM_FAULTS = [
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
DATAGRAM_FAULTS = [
    {"kind": "drop", "direction": "up", "at": 1},
    {"kind": "duplicate", "direction": "down", "at": 0},
]


@pytest.fixture
def target() -> Iterator[Address]:
    """Yield the address of an echo server."""
    with echo_server() as address:
        yield address


def test_data_in_flight_arrives_before_a_half_close(target):
    data = b"x" * 50_000
    with ProxyThread(target, fault_plan({"kind": "latency", "ms": 30})) as proxy:
        sock = connect(proxy.address)
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)  # while all data is still delayed by the latency
        assert read_to_end(sock) == (data + GOODBYE, "end")


def test_two_proxies_in_a_chain_forward_resets_and_ends(target):
    cut_second = fault_plan({"connection": 2, "kind": "cut", "at": 3})
    with ProxyThread(target) as near, ProxyThread(near.address, cut_second) as far:
        sock = connect(far.address)
        sock.sendall(b"abc")
        sock.shutdown(socket.SHUT_WR)
        assert read_to_end(sock) == (b"abc" + GOODBYE, "end")
        sock = connect(far.address)
        sock.sendall(b"abc")
        assert read_to_end(sock)[1] == "reset"
        assert far.record.text().count("\n") >= 1
        assert near.record.text() == ""


def test_a_connection_that_the_target_refuses_is_reset():
    with socket.create_server(("127.0.0.1", 0)) as free:
        unused_address = free.getsockname()
    with ProxyThread(unused_address) as proxy:
        assert read_to_end(connect(proxy.address)) == (b"", "reset")


@pytest.fixture
def slow_connects(monkeypatch) -> None:
    """Have each connection wait before it connects to its target."""
    connect_to_target = Connection.connect

    async def connect_late(self: Connection) -> None:
        await asyncio.sleep(LATE_CONNECT_S)
        await connect_to_target(self)

    monkeypatch.setattr(Connection, "connect", connect_late)


@pytest.mark.parametrize("reset_by", ["client", "proxy"])
@pytest.mark.usefixtures("slow_connects")
def test_a_reset_before_the_target_is_connected_reaches_the_target(reset_by):
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        ProxyThread(listener.getsockname()) as proxy,
    ):
        assert isinstance(proxy, Proxy)
        listener.settimeout(SOCKET_TIMEOUT_S)
        client = connect(proxy.address)
        while not proxy.open_connections:
            time.sleep(0.001)
        if reset_by == "client":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            client.close()
        else:
            (connection,) = proxy.open_connections
            proxy.loop.call_soon_threadsafe(connection.reset)
        server, _ = listener.accept()
        assert read_to_end(server) == (b"", "reset")
        end = time.monotonic() + SOCKET_TIMEOUT_S
        while proxy.open_connections and time.monotonic() < end:
            time.sleep(0.001)
        assert not proxy.open_connections


def test_an_answer_before_a_reset_is_forwarded_even_if_a_write_fails_first():
    """A write that fails because of a reset must not discard bytes that are still unread."""
    late = fault_plan({"kind": "latency", "direction": "up", "ms": 150})
    listener = socket.create_server(("127.0.0.1", 0))
    with listener, ProxyThread(listener.getsockname(), late) as proxy:
        for _ in range(3):
            client = connect(proxy.address)
            server, _ = listener.accept()
            client.sendall(b"late ")
            server.sendall(b"BUSY\r\n")
            server.close()
            assert client.recv(100) == b"BUSY\r\n"
            client.close()


def send_in_lockstep(address: Address, seed: int) -> None:
    """Send the same bytes in the same order, however long each answer takes."""
    sock = connect(address, timeout_s=0.3)
    try:
        for number in range(6):
            sock.sendall(b"M %d %d\r\n" % (seed, number))
            if not sock.recv(READ_SIZE):
                break
    except OSError:
        pass  # a fault ended the connection, or no answer came in time
    sock.close()


def recorded_faults(target: Address, plan: Plan | Replay, proxy_seed: int, seed: int) -> str:
    """Return the record of some connections through a proxy."""
    with ProxyThread(target, plan, proxy_seed) as proxy:
        for _ in range(CONNECTIONS):
            send_in_lockstep(proxy.address, seed)
    return proxy.record.text()


def replay_of(record: str) -> Replay:
    """Return a plan that repeats the faults of a record."""
    lines = [json.loads(line) for line in record.splitlines()]
    return Replay([Fault(**line | {"kind": Kind(line["kind"])}) for line in lines])


def test_the_same_seed_gives_the_same_record_and_a_record_replays(target):
    records = set()
    for seed in range(SEEDS):
        plan = fault_plan(random=RANDOM_FAULTS)
        record = recorded_faults(target, plan, seed, seed)
        assert recorded_faults(target, plan, seed, seed) == record, f"seed {seed}"
        records.add(record)
        if seed < REPLAYED_SEEDS:
            replayed = recorded_faults(target, replay_of(record), 99, seed)
            assert replayed == record, f"replay of seed {seed}"
    assert len(records) > 40


def udp_socket() -> socket.socket:
    """Return a UDP socket whose reads time out."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.settimeout(SOCKET_TIMEOUT_S)
    return sock


def test_udp_is_forwarded_both_ways_with_planned_drops_and_duplicates():
    plan = toml.decode({"datagram": DATAGRAM_FAULTS}, Plan, "test")
    with udp_socket() as server, udp_socket() as client:
        server.bind(("127.0.0.1", 0))
        with ProxyThread(server.getsockname(), plan, udp=True) as proxy:
            for datagram in (b"0", b"1", b"2"):
                client.sendto(datagram, proxy.address)
            received = [server.recvfrom(10) for _ in range(2)]
            assert [datagram for datagram, _ in received] == [b"0", b"2"]
            _, client_address = received[0]
            server.sendto(b"back", client_address)
            assert [client.recv(10), client.recv(10)] == [b"back", b"back"]


def test_a_delay_lasts_at_least_as_planned(target):
    delayed = fault_plan({"kind": "delay", "ms": 200, "direction": "up"})
    with ProxyThread(target, delayed) as proxy:
        sock, began = connect(proxy.address), time.monotonic()
        sock.sendall(b"a")
        assert sock.recv(1) == b"a"
        assert time.monotonic() - began >= 0.2
        sock.close()
