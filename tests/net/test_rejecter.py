"""Clients that are rejected for want of a slot."""

import socket
from types import SimpleNamespace
from typing import Any, cast

import pytest
from core_helpers import DRIVER_LIMITS, CoreHarness

from cypresswalk.net.clock import Clock
from cypresswalk.net.counters import Counters
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.parsers.lines import parse_open_request
from cypresswalk.net.rejecter import ClientRejecter

OPEN_LINE = b"OPEN f1 7 c=view,t=north,d=900"


@pytest.mark.parametrize(
    ("data", "reply", "requests"),
    [
        (b"", b"BUSY\r\n", 0),
        (b"PING\r\n", b"PONG\r\nBUSY\r\n", 0),  # a health check must not fail for a crowd
        (OPEN_LINE[:9], b"BUSY\r\n", 0),
        (OPEN_LINE + b"\r\n", b"BUSY\r\n", 1),
        (b"nonsense\r\n", b"ERR\r\n", 0),
    ],
)
def test_client_without_a_slot_gets_the_reply_that_fits_what_it_sent(data, reply, requests):
    core = SimpleNamespace(ping_reply=lambda: b"PONG\r\n", on_no_slot=object(), counters=Counters())
    inbox = Inbox(Clock())
    ours, theirs = socket.socketpair()
    ours.sendall(data)
    ClientRejecter(cast(Any, core), inbox, DRIVER_LIMITS).reject(theirs)
    with ours.makefile("rb") as file:
        assert file.read() == reply
    ours.close()
    assert inbox.queue.qsize() == requests


def test_request_rejected_for_want_of_a_slot_is_counted_as_rejected():
    harness = CoreHarness()
    harness.core.on_no_slot(harness.now, parse_open_request(OPEN_LINE))
    assert sum(harness.core.metrics.counts["throttled"].values()) == 1
