"""The adapter: frames in, frames out, plain messages for what is malformed."""

import json
import struct
import subprocess
import sys

import pytest
from paths import ROOT

from cypresswalk.benchlink.wire import WireError, settings

PARAMS = {
    "me": 0,
    "instances": 1,
    "zone": 0,
    "family": "conn",
    "discovery": "pushed",
    "unheard": [1],
    "limits": {"maxConnects": 3, "retryAfter": False, "maxRetryAfter": 0.0, "probes": False},
    "rules": {
        "askWithin": 10000.0,
        "cold": 5000.0,
        "coldShare": 0.2,
        "fall": 2000.0,
        "overloadFactor": 3.0,
    },
    "deductions": {},
    "stats": {"via": "silent", "fields": []},
    "serviceTypes": [{"semantics": "idempotent", "setupTarget": 300.0}],
}


def run(data: bytes):
    return subprocess.run(
        [sys.executable, "-m", "cypresswalk.benchlink"], input=data, capture_output=True, cwd=ROOT
    )


def batch(*records: bytes, clock=100000.0) -> bytes:
    body = b"".join(records)
    return struct.pack("<IId", len(records), 8 + len(body), clock) + body


def init(text: bytes) -> bytes:
    return b"\x00" + struct.pack("<QI", 9, len(text)) + text


ABOUT = b"\x0c\x03\x00"
LIST = b"\x01" + struct.pack("<BQI", 2, 1, 1) + struct.pack("<HdHIHfB", 0, 0.0, 0, 77, 0, 1.0, 0)
FLOW = b"\x02" + struct.pack("<QHHQddQB", 5, 0, 0, 0, 102000.0, 0.0, 0, 0)


def test_a_flow_is_sent_to_the_listed_server_and_the_end_is_clean():
    done = run(batch() + batch(ABOUT, init(json.dumps(PARAMS).encode()), LIST) + batch(ABOUT, FLOW))
    assert done.returncode == 0 and not done.stderr
    assert done.stdout[:8] == bytes.fromhex("0400000000000000")
    assert done.stdout.endswith(b"\x0d\x03\x00" + struct.pack("<BQdI", 0, 5, 150.0, 77))


@pytest.mark.parametrize(
    "data, message",
    [
        (b"\x01\x00", "header of batch 0: input ended"),
        (batch(ABOUT)[:-1], "batch 0: input ended"),
        (batch(ABOUT + b"\x00"), "1 bytes follow"),
        (batch(ABOUT, b"\xee"), "unknown record code 238"),
        (batch(ABOUT, init(b"{")), "not JSON"),
        (batch(ABOUT, init(b"{}")), "'limits' is missing"),
        (batch(FLOW), "before any About"),
    ],
)
def test_malformed_input_is_named_and_ends_with_an_error(data, message):
    done = run(data)
    assert done.returncode == 1 and message in done.stderr.decode()


def test_a_customer_without_a_share_is_never_beyond_it():
    params = PARAMS | {"extra": {"tenantQuotaConnections": [3.0, None]}}
    assert settings(json.dumps(params).encode()).quotas == [3.0, float("inf")]


def test_ids_no_longer_held_are_no_errors():
    late = b"\x04" + struct.pack("<QIBdBHB", 5, 77, 1, 3.0, 0, 100, 0)
    done = run(
        batch(ABOUT, init(json.dumps(PARAMS).encode()), LIST)
        + batch(ABOUT, late, b"\x05" + struct.pack("<Q", 5))
    )
    assert done.returncode == 0


@pytest.mark.parametrize(
    "name, odd",
    [("budgetFree", -1), ("extraRatio", "much"), ("lookBack", float("inf")), ("extraRatio", True)],
)
def test_an_odd_figure_of_the_budget_is_named_and_an_absent_one_means_no_such_rule(name, odd):
    assert settings(json.dumps(PARAMS).encode()).retry_window == 0
    rules = PARAMS["rules"] | {"budgetFree": 5, "extraRatio": 0.05, "lookBack": 2000.0}
    found = settings(json.dumps(PARAMS | {"rules": rules}).encode())
    assert (found.retry_window, found.retry_budget_base, found.retry_budget_ratio) == (
        2_000_000_000,
        5,
        0.05,
    )
    with pytest.raises(WireError) as error:
        settings(json.dumps(PARAMS | {"rules": rules | {name: odd}}).encode())
    assert name in str(error.value)
