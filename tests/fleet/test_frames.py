"""Frames between members: what is malformed ends the connection and has no effect."""

import socket
import struct
from random import Random
from zlib import crc32

import pytest

from cypresswalk.fleet.messages import PROTOCOL, Call, FrameDecoder, FrameError, Hello, encode_frame
from cypresswalk.fleet.transport import Transport

RANDOM_FRAMES = 400
RANDOM_FRAME_BYTES = 40


def decoder_of(data: bytes) -> FrameDecoder:
    """A decoder that was fed some bytes."""
    decoder = FrameDecoder()
    decoder.feed(data)
    return decoder


def test_frame_with_a_changed_byte_fails_its_checksum():
    changed = bytearray(encode_frame(Call(1, "status", {"server": "s-1"})))
    changed[-1] ^= 1  # another server's name, as well-formed as before
    with pytest.raises(FrameError, match="checksum"):
        decoder_of(bytes(changed)).next_frame()


def test_random_body_with_a_right_checksum_is_malformed():
    random = Random(7)
    for _ in range(RANDOM_FRAMES):
        body = random.randbytes(RANDOM_FRAME_BYTES)
        head = struct.pack("<II", len(body), crc32(body))
        with pytest.raises(FrameError):
            decoder_of(head + body).next_frame()


def test_frame_that_is_too_long_is_malformed():
    with pytest.raises(FrameError):
        decoder_of(b"\xff" * 8).next_frame()


def test_frame_that_comes_byte_by_byte_is_decoded_at_its_last():
    *first_bytes, last_byte = encode_frame(Call(1, "status", {}))
    decoder = FrameDecoder()
    for byte in first_bytes:
        decoder.feed(bytes([byte]))
        assert decoder.next_frame() is None
    decoder.feed(bytes([last_byte]))
    assert decoder.next_frame() == Call(1, "status", {})


def hello(
    receiver: str = "",
    fleet: str = "f",
    protocol: int = PROTOCOL,
    boot: int = 2,
    start_nonce: int = 5,
) -> Hello:
    """The first frame of member b#1."""
    return Hello(protocol, fleet, "member", "g", "b#1", boot, start_nonce, "", receiver)


@pytest.fixture
def transport() -> Transport:
    """The transport of member a#1, which listens nowhere and has heard nobody."""
    return Transport(
        ("127.0.0.1", 0),
        "f",
        lambda event: None,
        lambda: 0,
        lambda receiver: Hello(PROTOCOL, "f", "member", "g", "a#1", 1, 1, "", receiver),
        lambda: "g",
    )


def test_hello_of_the_same_fleet_is_accepted(transport):
    assert transport.rejection_of(hello()) is None
    assert transport.rejection_of(hello(receiver="a#1")) is None


@pytest.mark.parametrize(
    "rejected, code",
    [
        (hello(fleet="x"), "fleet"),
        (hello(protocol=PROTOCOL + 1), "protocol"),
        (hello(receiver="a#0"), "replaced"),
    ],
)
def test_hello_of_another_fleet_protocol_or_receiver_is_rejected(transport, rejected, code):
    assert transport.rejection_of(rejected).code == code


@pytest.mark.parametrize("earlier", [hello(boot=2, start_nonce=7), hello(boot=3, start_nonce=7)])
def test_hello_of_a_restored_folder_is_rejected(transport, earlier):
    """Its starts are counted anew, or counted the same with another nonce."""
    assert transport.rejection_of(hello()) is None
    assert transport.rejection_of(hello(boot=3, start_nonce=6)) is None
    assert transport.rejection_of(earlier).code == "put-back"


def test_second_hello_ends_the_connection_and_reaches_nobody():
    # Found by reading: it was handed on as if it were a message, and ended the fleet's thread.
    posted = []
    transport = Transport(
        ("127.0.0.1", 0),
        "f",
        posted.append,
        lambda: 0,
        lambda receiver: Hello(PROTOCOL, "f", "member", "g", "a#1", 1, 1, "", receiver),
        lambda: "g",
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.create_connection(listener.getsockname(), timeout=5)
        ours, _ = listener.accept()
    theirs.sendall(encode_frame(hello()) + encode_frame(hello()))
    transport._serve(ours)
    assert theirs.recv(1) == b""
    assert posted == []
    assert transport.counts["frames_odd"] == 1
