"""The adapter to the bench: replies to batches, and error messages for malformed input."""

import json
import struct
import subprocess
import sys
from typing import Any

import pytest
from paths import ROOT

from cypresswalk.benchlink.wire import WireError, parse_settings
from cypresswalk.model import SECOND

PARAMS: dict[str, Any] = {
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
RETRY_BUDGET = {"budgetFree": 5, "extraRatio": 0.05, "lookBack": 2000.0}

START_MS = 100_000.0
SERVER = 77
FLOW = 5


def run_adapter(data: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the adapter on the input until it exits."""
    command = [sys.executable, "-m", "cypresswalk.benchlink"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT)


def batch(*records: bytes) -> bytes:
    """Encode a batch of records, all at `START_MS`."""
    body = b"".join(records)
    return struct.pack("<IId", len(records), 8 + len(body), START_MS) + body


def init_record(params: bytes) -> bytes:
    """Encode the record that starts an instance; `params` is JSON unless a test malforms it."""
    return b"\x00" + struct.pack("<QI", 9, len(params)) + params


def settings_with(**changes: Any) -> Any:
    """Return the settings that the adapter parses from `PARAMS` with changes."""
    return parse_settings(json.dumps(PARAMS | changes).encode())


ABOUT = b"\x0c\x03\x00"
INIT = init_record(json.dumps(PARAMS).encode())
ENDPOINT_LIST = (
    b"\x01" + struct.pack("<BQI", 2, 1, 1) + struct.pack("<HdHIHfB", 0, 0.0, 0, SERVER, 0, 1.0, 0)
)
NEW_FLOW = b"\x02" + struct.pack("<QHHQddQB", FLOW, 0, 0, 0, 102000.0, 0.0, 0, 0)
ATTEMPT_ENDED = b"\x04" + struct.pack("<QIBdBHB", FLOW, SERVER, 1, 3.0, 0, 100, 0)
HANGUP = b"\x05" + struct.pack("<Q", FLOW)
EMPTY_REPLY = bytes.fromhex("0400000000000000")
START_ATTEMPT = b"\x0d\x03\x00" + struct.pack("<BQdI", 0, FLOW, 150.0, SERVER)


def test_flow_is_sent_to_the_listed_server_and_the_adapter_exits_cleanly():
    run = run_adapter(batch() + batch(ABOUT, INIT, ENDPOINT_LIST) + batch(ABOUT, NEW_FLOW))
    assert run.returncode == 0
    assert not run.stderr
    assert run.stdout[: len(EMPTY_REPLY)] == EMPTY_REPLY
    assert run.stdout.endswith(START_ATTEMPT)


@pytest.mark.parametrize(
    "data, message",
    [
        (b"\x01\x00", "header of batch 0: input ended"),
        (batch(ABOUT)[:-1], "batch 0: input ended"),
        (batch(ABOUT + b"\x00"), "1 bytes follow"),
        (batch(ABOUT, b"\xee"), "unknown record code 238"),
        (batch(ABOUT, init_record(b"{")), "not JSON"),
        (batch(ABOUT, init_record(b"{}")), "'limits' is missing"),
        (batch(NEW_FLOW), "before any About"),
    ],
)
def test_malformed_input_ends_the_adapter_with_an_error_that_names_it(data, message):
    run = run_adapter(data)
    assert run.returncode == 1
    assert message in run.stderr.decode()


def test_a_tenant_without_a_quota_has_no_limit():
    found = settings_with(extra={"tenantQuotaConnections": [3.0, None]})
    assert found.quotas == [3.0, float("inf")]


def test_records_of_flows_that_have_ended_are_ignored():
    run = run_adapter(batch(ABOUT, INIT, ENDPOINT_LIST) + batch(ABOUT, ATTEMPT_ENDED, HANGUP))
    assert run.returncode == 0


def test_retry_budget_is_off_by_default():
    assert settings_with().retry_window == 0


def test_retry_budget_is_parsed():
    found = settings_with(rules=PARAMS["rules"] | RETRY_BUDGET)
    assert found.retry_window == 2 * SECOND
    assert found.retry_budget_base == 5
    assert found.retry_budget_ratio == 0.05


@pytest.mark.parametrize(
    "name, invalid",
    [("budgetFree", -1), ("extraRatio", "much"), ("lookBack", float("inf")), ("extraRatio", True)],
)
def test_an_invalid_retry_budget_is_rejected_by_name(name, invalid):
    with pytest.raises(WireError) as error:
        settings_with(rules=PARAMS["rules"] | RETRY_BUDGET | {name: invalid})
    assert name in str(error.value)
