"""Decoding of the endpoint list."""

import pytest
from helpers import endpoint_entry

from cypresswalk.model import SECOND, ServerState
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number


def test_malformed_entries_are_skipped_and_server_numbers_are_hashes_of_ids():
    malformed = [
        7,
        {},
        endpoint_entry("x", "nowhere"),
        endpoint_entry("x", "a.name:9"),
        endpoint_entry("x", lifecycle="asleep"),
        endpoint_entry("x", weight="much"),
        endpoint_entry("x", startedAtMs=float("nan")),
        endpoint_entry("x", zone=["a"]),
    ]
    decoder = EndpointListDecoder({"a": 0, "b": 1})
    well_formed = [
        endpoint_entry("s-1", zone="b", startedAtMs=5000, lifecycle="terminating"),
        endpoint_entry("s-2", zone="elsewhere", cell="c7"),
    ]
    _, entries = decoder.decode(
        {"generation": 9, "reset": False, "instances": malformed + well_formed}
    )
    (first, address), (second, _) = entries
    assert first.id == server_number("s-1")
    assert first.zone == 1
    assert first.started_at == 5 * SECOND
    assert first.state is ServerState.DRAINING
    assert second.zone not in (0, 1)
    assert first.id < 1 << 32
    assert address == ("127.0.0.1", 9)
    assert decoder.version == 9
    not_lists: list[object] = [7, [], {"instances": 7}]
    for broken in not_lists:
        with pytest.raises(ProtocolError):
            decoder.decode(broken)
