"""The endpoint list's watch: calls that fail in any way, and updates that cross the watch's end."""

import json
import socket
import time
from contextlib import suppress
from threading import Event, Thread

import pytest
from core_helpers import DRIVER_LIMITS
from helpers import config_data, endpoint_entry
from program_helpers import (
    END,
    LOOPBACK,
    RESET,
    LineConnection,
    ListeningServer,
    address_of,
    endpoint_update,
    http_chunk,
    reset_on_close,
    wait_until,
)

from cypresswalk.model import SECOND, ServerState
from cypresswalk.net.clock import Clock
from cypresswalk.net.config import build, parse_address
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.discovery import EndpointWatch
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number

pytestmark = pytest.mark.usefixtures("end_watches")

HEARTBEAT_INTERVAL = 2 * SECOND  # of discovery
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CUT_UPDATE = http_chunk(endpoint_update(endpoint_entry("s-0"))[:-9])
HEARTBEAT = http_chunk(b"\n")


class FaultyDiscovery(ListeningServer):
    """Discovery that fails each call in one way until it is well; then it tells its update."""

    def __init__(self, update: bytes):
        """Listens at once; subclasses say in `fail` what a call meets."""
        self.update = update
        self.failing = Event()  # a call has met the failure
        self.well = Event()
        self.listen()

    def serve(self, client: LineConnection) -> None:
        """Answers one call."""
        if self.well.is_set():
            client.read_line()
            client.sock.sendall(HEAD + http_chunk(self.update))
            return
        self.fail(client)
        self.failing.set()

    def fail(self, client: LineConnection) -> None:
        """What a call meets. Sets `failing` itself if the call hangs."""
        raise NotImplementedError

    def send_and_hang(self, client: LineConnection, data: bytes) -> None:
        """Sends the data, then nothing for as long as the watch waits."""
        client.sock.sendall(data)
        self.failing.set()
        while client.read_line() not in (END, RESET):
            pass

    def send_and_trickle(self, client: LineConnection, data: bytes) -> None:
        """Sends the data, then bytes all the time that make no object and no heartbeat."""
        client.sock.sendall(data)
        self.failing.set()
        with suppress(OSError):
            while True:
                client.sock.sendall(http_chunk(b" "))
                time.sleep(0.05)


class SilentDiscovery(FaultyDiscovery):
    """Sends nothing at all."""

    def fail(self, client: LineConnection) -> None:
        """Hangs."""
        self.send_and_hang(client, b"")


class HeadOnlyDiscovery(FaultyDiscovery):
    """Sends the head of its response."""

    def fail(self, client: LineConnection) -> None:
        """Hangs after the head."""
        self.send_and_hang(client, HEAD)


class TricklingDiscovery(FaultyDiscovery):
    """Sends blanks and nothing that counts."""

    def fail(self, client: LineConnection) -> None:
        """Trickles after the head."""
        self.send_and_trickle(client, HEAD)


class CutUpdateDiscovery(FaultyDiscovery):
    """Sends half an update."""

    def fail(self, client: LineConnection) -> None:
        """Hangs in the middle of an update."""
        self.send_and_hang(client, HEAD + CUT_UPDATE)


class BrokenOffDiscovery(FaultyDiscovery):
    """Sends half an update and ends."""

    def fail(self, client: LineConnection) -> None:
        """Breaks off in the middle of an update."""
        client.sock.sendall(HEAD + CUT_UPDATE)
        client.close()


class ResettingDiscovery(FaultyDiscovery):
    """Resets the connection."""

    def fail(self, client: LineConnection) -> None:
        """Resets before the response."""
        reset_on_close(client.sock)
        client.close()


class ErrorDiscovery(FaultyDiscovery):
    """Answers with an error."""

    def fail(self, client: LineConnection) -> None:
        """Answers 503."""
        client.sock.sendall(b"HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")
        client.close()


class HeartbeatThenSilentDiscovery(FaultyDiscovery):
    """Sends a heartbeat, then nothing."""

    def fail(self, client: LineConnection) -> None:
        """Hangs after a heartbeat."""
        self.send_and_hang(client, HEAD + HEARTBEAT)


class HeartbeatThenTricklingDiscovery(FaultyDiscovery):
    """Sends a heartbeat, then blanks."""

    def fail(self, client: LineConnection) -> None:
        """Trickles after a heartbeat."""
        self.send_and_trickle(client, HEAD + HEARTBEAT)


FAILURES = [
    SilentDiscovery,
    HeadOnlyDiscovery,
    TricklingDiscovery,
    CutUpdateDiscovery,
    BrokenOffDiscovery,
    ResettingDiscovery,
    ErrorDiscovery,
    HeartbeatThenSilentDiscovery,
    HeartbeatThenTricklingDiscovery,
]


class WatchHarness:
    """A watch with a core and no program: what it posts waits in the inbox."""

    def __init__(self, address: str, polled: bool = False):
        """The watch of discovery at an address; its core knows s-0 as in service."""
        self.inbox = Inbox(Clock())
        data = config_data([endpoint_entry("s-0")])
        config = build({}, data)
        self.core = Core(config, None, Counters(), self.inbox.clock())
        self.decoder = EndpointListDecoder(config.zones)
        self.core.on_endpoints(self.inbox.clock(), *self.decoder.decode(data["known"]))
        self.watch = EndpointWatch(
            parse_address(address, "discovery"),
            self.decoder,
            self.core,
            self.inbox,
            DRIVER_LIMITS,
            polled,
        )

    def start(self) -> None:
        """Has the watch call discovery."""
        Thread(target=self.watch.run, daemon=True).start()

    def process_events(self) -> None:
        """Carries out what was posted, as the deciding thread does."""
        while self.inbox.queue.qsize():
            at, call, args = self.inbox.queue.get()
            call(at, *args)

    def state(self, name: str = "s-0") -> ServerState:
        """The server's state, once all that was posted is carried out."""
        self.process_events()
        return self.core.balancer.servers[server_number(name)].state

    def on_update(self, *entries: dict) -> None:
        """Carries out an update that the watch has posted before."""
        update = self.decoder.decode(json.loads(endpoint_update(*entries)))
        self.watch.on_update(self.inbox.clock(), *update, False)


def test_update_budget_covers_silence_and_any_failed_call():
    # A watch that falls silent right after its heartbeat is noticed, and a call at once tells; so
    # is a change told after a call that was begun just before discovery was back, the longest pause
    # after it included.
    assert (
        DRIVER_LIMITS.list_silence_timeout + DRIVER_LIMITS.list_call_timeout
        <= DRIVER_LIMITS.list_update_budget
    )
    longest_pause = DRIVER_LIMITS.max_list_retry_pause * 13 // 10
    assert 2 * DRIVER_LIMITS.list_call_timeout + longest_pause <= DRIVER_LIMITS.list_update_budget
    assert DRIVER_LIMITS.list_silence_timeout > 2 * HEARTBEAT_INTERVAL


@pytest.mark.parametrize("polled", [False, True])
def test_drain_is_known_within_six_seconds_from_any_instant_of_any_failed_call(polled):
    """All kinds of failure at once, each from the instant in which a call has met it."""
    drain = endpoint_update(endpoint_entry("s-0", lifecycle="terminating"))
    discoveries = [failure(drain) for failure in FAILURES]
    harnesses = [WatchHarness(discovery.address, polled) for discovery in discoveries]
    for harness in harnesses:
        harness.start()
        harness.watch.request_update()
    pending = []
    for discovery, harness in zip(discoveries, harnesses, strict=True):
        assert discovery.failing.wait(5)
        discovery.well.set()  # from now on discovery has the drain and can be reached
        pending.append((time.monotonic(), discovery, harness))
    while pending:
        for entry in list(pending):
            began, discovery, harness = entry
            took = time.monotonic() - began
            assert took < 6, f"{type(discovery).__name__}: not told after {took:.1f} s"
            if harness.state() is ServerState.DRAINING:
                pending.remove(entry)
        time.sleep(0.02)


def test_call_whose_connection_never_comes_up_fails_in_time_for_another():
    """Discovery's machine accepts no connection: the call has one limit for all its phases."""
    full = socket.socket()
    full.bind((LOOPBACK, 0))
    full.listen(0)
    # All that its backlog has room for, and more: the next connection hangs.
    waiting = [socket.socket() for _ in range(4)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    harness = WatchHarness(address_of(full))
    failed = Event()
    harness.watch.on_failure = lambda now: failed.set()
    began = time.monotonic()
    harness.start()

    def has_failed() -> bool:
        harness.process_events()
        return failed.is_set()

    wait_until(has_failed)
    assert time.monotonic() - began < DRIVER_LIMITS.list_call_timeout / SECOND + 0.5
    harness.watch.end()
    for sock in [*waiting, full]:
        sock.close()


@pytest.mark.parametrize("order", ["told first", "ended first"])
def test_drain_read_before_the_end_of_a_watch_counts_though_it_is_handled_after(order):
    # The drain had been read; that SIGHUP was handled before it must not drop it.
    harness = WatchHarness("127.0.0.1:9")
    drain_and_new_server = [endpoint_entry("s-0", lifecycle="terminating"), endpoint_entry("s-7")]
    assert harness.state() is ServerState.READY
    if order == "told first":
        harness.on_update(*drain_and_new_server)
        harness.watch.end()
    else:
        harness.watch.end()
        harness.on_update(*drain_and_new_server)
        # A new server is the new address's to tell.
        assert server_number("s-7") not in harness.core.balancer.servers
    # Nor does an old address bring back what drains.
    harness.on_update(endpoint_entry("s-0"))
    assert harness.state() is ServerState.DRAINING
