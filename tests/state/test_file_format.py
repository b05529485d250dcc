"""The file format of snapshots: encoding and decoding agree, and invalid files are refused."""

import math
from pathlib import Path

import pytest
from state_helpers import snapshot

from cypresswalk.state import file_format
from cypresswalk.state.file_format import FormatError

SAMPLES = Path(__file__).parent / "samples"  # one file of each version of the format


def test_snapshot_that_was_encoded_is_decoded():
    assert file_format.decode(file_format.encode(snapshot())) == snapshot()
    assert file_format.decode(file_format.encode(snapshot(servers=0))).servers == []


def test_file_with_a_flipped_bit_or_wrong_length_is_refused():
    data = file_format.encode(snapshot())
    for bit in range(len(data) * 8):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        with pytest.raises(FormatError):
            file_format.decode(bytes(flipped))
    for length in range(len(data)):
        with pytest.raises(FormatError):
            file_format.decode(data[:length])
    with pytest.raises(FormatError):
        file_format.decode(data + b"\0")


@pytest.mark.parametrize(
    "changes, message",
    [
        ({"state": "asleep"}, "state 'asleep'"),
        ({"limit": math.nan}, "out of its range"),
        ({"health": -1}, "out of its range"),
        ({"strain": math.inf}, "out of its range"),
        ({"slow_start_spent": (math.inf, 0)}, "not a finite number"),
    ],
    ids=["state", "limit", "health", "strain", "slow_start_spent"],
)
def test_invalid_server_under_a_valid_checksum_is_refused(changes, message):
    content = snapshot()
    for name, value in changes.items():
        setattr(content.servers[1], name, value)
    with pytest.raises(FormatError, match=message):
        file_format.decode(file_format.encode(content))


@pytest.mark.parametrize(
    "chunk, message",
    [
        (file_format.encode_chunk(b"z", 1), "unknown chunk kind b'z'"),
        (file_format.encode_chunk(b"s", [["x"]]), "Expected"),
    ],
    ids=["unknown kind", "invalid servers"],
)
def test_invalid_chunk_under_a_valid_checksum_is_refused(chunk, message):
    head = file_format.encode_chunk(b"h", snapshot().head)
    with pytest.raises(FormatError, match=message):
        file_format.decode(file_format.encode_file([head, chunk]))


@pytest.mark.parametrize("version", range(1, file_format.VERSION + 1))
def test_file_of_every_format_version_is_read(version):
    content = file_format.decode((SAMPLES / f"v{version}.state").read_bytes())
    assert content.head.balancer == "n0"
    assert len(content.servers) == 3
    assert content.servers[0].misses == 3
