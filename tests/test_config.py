"""The configuration, and the limits that follow from it."""

import json

import pytest
from helpers import config_data

from cypresswalk.model import SECOND
from cypresswalk.net.config import load
from cypresswalk.net.errors import ConfigError
from cypresswalk.net.limits import Limits


def test_an_unusable_configuration_is_refused_with_what_is_wrong(tmp_path):
    file = tmp_path / "config.json"
    for text, message in [
        ("{", "PROXY_CONFIG"),
        ("[]", "not an object"),
        ("{}", "'settings' is missing"),
        (json.dumps(config_data(listen="here")), "listen"),
        (json.dumps(config_data(azs=None)), "PROXY_CONFIG"),
        (json.dumps(config_data(rules={})), "is missing"),
    ]:
        file.write_text(text)
        with pytest.raises(ConfigError, match=message):
            load({"PROXY_CONFIG": str(file)})
    with pytest.raises(ConfigError, match="not set"):
        load({})


def test_limits_leave_descriptors_and_memory_for_all_that_may_be_open_at_once():
    for sockets in (256, 588, 1024):
        limits = Limits(
            max_sockets=sockets,
            max_memory=192 << 20,
            dial_timeout=SECOND,
            longest_attempt_timeout=SECOND,
            min_reported_delay=1,
        )
        # A third of them for clients of flows and as many for servers; what is left is for the rest.
        assert limits.max_flows >= sockets // 3
        assert (
            2 * limits.max_flows + limits.max_unopened_clients + limits.max_idle_health_checks + 10
            <= sockets
        )
        assert (
            2 * limits.max_flows
            + limits.max_unopened_clients
            + limits.max_lingering_connections
            + limits.max_idle_health_checks
            + limits.max_running_health_checks
            + limits.fixed_sockets
            <= sockets
        )
    # Flows are rejected before the memory is used up and the process killed.
    short = Limits(
        max_sockets=1024,
        max_memory=32 << 20,
        dial_timeout=SECOND,
        longest_attempt_timeout=SECOND,
        min_reported_delay=1,
    )
    assert (
        short.max_flows * short.flow_memory + short.program_memory <= short.max_memory
        and short.max_flows > 150
    )
