"""The watch of the endpoint list: failed calls, and updates that are read as the watch ends."""

import json
import socket
import time
from contextlib import suppress
from threading import Event, Thread
from typing import Any, cast

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
HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PARTIAL_UPDATE = http_chunk(endpoint_update(endpoint_entry("s-0"))[:-9])
HEARTBEAT = http_chunk(b"\n")


class FaultyDiscovery(ListeningServer):
    """Discovery that fails each call in one way until it recovers, and then sends its update."""

    def __init__(self, update: bytes):
        """Start listening; subclasses define in `fail` how a call fails."""
        self.update = update
        self.failing = Event()  # set once a call has run into the failure
        self.recovered = Event()
        self.listen()

    def serve(self, client: LineConnection) -> None:
        """Answer one call."""
        if self.recovered.is_set():
            client.read_line()
            client.sock.sendall(HEADERS + http_chunk(self.update))
            return
        self.fail(client)
        self.failing.set()

    def fail(self, client: LineConnection) -> None:
        """Fail the call. Set `failing` here if the call hangs."""
        raise NotImplementedError

    def send_and_hang(self, client: LineConnection, data: bytes) -> None:
        """Send the data, then nothing for as long as the watch waits."""
        client.sock.sendall(data)
        self.failing.set()
        while client.read_line() not in (END, RESET):
            pass

    def send_and_trickle(self, client: LineConnection, data: bytes) -> None:
        """Send the data, then continuously bytes that form neither an object nor a heartbeat."""
        client.sock.sendall(data)
        self.failing.set()
        with suppress(OSError):
            while True:
                client.sock.sendall(http_chunk(b" "))
                time.sleep(0.05)


class SilentDiscovery(FaultyDiscovery):
    """Sends nothing."""

    def fail(self, client: LineConnection) -> None:
        """Hang without a response."""
        self.send_and_hang(client, b"")


class HeadersOnlyDiscovery(FaultyDiscovery):
    """Sends only the headers of its response."""

    def fail(self, client: LineConnection) -> None:
        """Hang after the headers."""
        self.send_and_hang(client, HEADERS)


class TricklingDiscovery(FaultyDiscovery):
    """Sends spaces, which are no complete value."""

    def fail(self, client: LineConnection) -> None:
        """Trickle after the headers."""
        self.send_and_trickle(client, HEADERS)


class PartialUpdateDiscovery(FaultyDiscovery):
    """Sends half an update."""

    def fail(self, client: LineConnection) -> None:
        """Hang in the middle of an update."""
        self.send_and_hang(client, HEADERS + PARTIAL_UPDATE)


class PartialUpdateThenCloseDiscovery(FaultyDiscovery):
    """Sends half an update and closes the connection."""

    def fail(self, client: LineConnection) -> None:
        """Close the connection in the middle of an update."""
        client.sock.sendall(HEADERS + PARTIAL_UPDATE)
        client.close()


class ResettingDiscovery(FaultyDiscovery):
    """Resets the connection."""

    def fail(self, client: LineConnection) -> None:
        """Reset the connection before the response."""
        reset_on_close(client.sock)
        client.close()


class ErrorDiscovery(FaultyDiscovery):
    """Answers with an HTTP error."""

    def fail(self, client: LineConnection) -> None:
        """Answer with status 503."""
        client.sock.sendall(b"HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")
        client.close()


class HeartbeatThenSilentDiscovery(FaultyDiscovery):
    """Sends a heartbeat, then nothing."""

    def fail(self, client: LineConnection) -> None:
        """Hang after a heartbeat."""
        self.send_and_hang(client, HEADERS + HEARTBEAT)


class HeartbeatThenTricklingDiscovery(FaultyDiscovery):
    """Sends a heartbeat, then spaces."""

    def fail(self, client: LineConnection) -> None:
        """Trickle after a heartbeat."""
        self.send_and_trickle(client, HEADERS + HEARTBEAT)


FAILURES = [
    SilentDiscovery,
    HeadersOnlyDiscovery,
    TricklingDiscovery,
    PartialUpdateDiscovery,
    PartialUpdateThenCloseDiscovery,
    ResettingDiscovery,
    ErrorDiscovery,
    HeartbeatThenSilentDiscovery,
    HeartbeatThenTricklingDiscovery,
]


class WatchHarness:
    """A watch and a core without a deciding thread: events stay in the inbox until processed."""

    def __init__(self, address: str, polled: bool = False):
        """Create a watch of discovery at an address, and a core that knows s-0 as in service."""
        self.inbox = Inbox(Clock())
        data = config_data([endpoint_entry("s-0")])
        config = build({}, data)
        self.core = Core(config, cast(Any, None), Counters(), self.inbox.clock())
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
        """Start the watch's thread, which calls discovery."""
        Thread(target=self.watch.run, daemon=True).start()

    def process_events(self) -> None:
        """Process the posted events, as the deciding thread does."""
        while self.inbox.queue.qsize():
            at, call, args = self.inbox.queue.get()
            call(at, *args)

    def state(self, name: str = "s-0") -> ServerState:
        """Process the posted events and return the server's state."""
        self.process_events()
        return self.core.balancer.servers[server_number(name)].state

    def on_update(self, *entries: dict) -> None:
        """Process an update as if the watch had posted it before."""
        update = self.decoder.decode(json.loads(endpoint_update(*entries)))
        self.watch.on_update(self.inbox.clock(), *update, False)


def test_update_budget_covers_silence_and_any_failed_call():
    # First case: discovery stops sending right after a heartbeat. After the silence timeout, one
    # call without a pause gets the change. Second case: a call begins just before discovery is
    # reachable again. That call's timeout, the longest pause and one more call must fit.
    assert (
        DRIVER_LIMITS.list_silence_timeout + DRIVER_LIMITS.list_call_timeout
        <= DRIVER_LIMITS.list_update_budget
    )
    longest_pause = DRIVER_LIMITS.max_list_retry_pause * 13 // 10
    assert 2 * DRIVER_LIMITS.list_call_timeout + longest_pause <= DRIVER_LIMITS.list_update_budget
    assert DRIVER_LIMITS.list_silence_timeout > 2 * HEARTBEAT_INTERVAL


@pytest.mark.parametrize("polled", [False, True])
def test_drain_is_applied_within_six_seconds_of_recovery_from_any_failed_call(polled):
    """Run all kinds of failure at once; measure each from the time at which a call has failed."""
    drain = endpoint_update(endpoint_entry("s-0", lifecycle="terminating"))
    discoveries = [failure(drain) for failure in FAILURES]
    harnesses = [WatchHarness(discovery.address, polled) for discovery in discoveries]
    for harness in harnesses:
        harness.start()
        harness.watch.request_update()
    pending = []
    for discovery, harness in zip(discoveries, harnesses, strict=True):
        assert discovery.failing.wait(5)
        discovery.recovered.set()  # discovery now answers, and its list has the drain
        pending.append((time.monotonic(), discovery, harness))
    while pending:
        for entry in list(pending):
            began, discovery, harness = entry
            took = time.monotonic() - began
            assert took < 6, f"{type(discovery).__name__}: drain not applied after {took:.1f} s"
            if harness.state() is ServerState.DRAINING:
                pending.remove(entry)
        time.sleep(0.02)


def test_call_that_cannot_connect_fails_in_time_for_a_retry():
    """If discovery accepts no connection, connecting uses up the one time limit of the call."""
    full = socket.socket()
    full.bind((LOOPBACK, 0))
    full.listen(0)
    # These fill the backlog, so that the next connection hangs.
    waiting = [socket.socket() for _ in range(4)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
    harness = WatchHarness(address_of(full))
    failed = Event()
    harness.watch.on_failure = lambda now: failed.set()  # type: ignore[method-assign]
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


@pytest.mark.parametrize("order", ["update first", "end first"])
def test_drain_read_before_a_watch_ends_is_applied_even_if_handled_later(order):
    # A drain that was read must not be lost because SIGHUP ended the watch before it was handled.
    harness = WatchHarness("127.0.0.1:9")
    drain_and_new_server = [endpoint_entry("s-0", lifecycle="terminating"), endpoint_entry("s-7")]
    assert harness.state() is ServerState.READY
    if order == "update first":
        harness.on_update(*drain_and_new_server)
        harness.watch.end()
    else:
        harness.watch.end()
        harness.on_update(*drain_and_new_server)
        # Only the new address may add a server.
        assert server_number("s-7") not in harness.core.balancer.servers
    # The old address cannot put a draining server back into service either.
    harness.on_update(endpoint_entry("s-0"))
    assert harness.state() is ServerState.DRAINING
