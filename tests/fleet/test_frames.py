"""Frames between members: a malformed frame ends the connection and has no effect."""

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
    """Return a decoder that has been fed `data`."""
    decoder = FrameDecoder()
    decoder.feed(data)
    return decoder


def test_frame_with_a_changed_byte_fails_its_checksum():
    changed = bytearray(encode_frame(Call(1, "status", {"server": "s-1"})))
    changed[-1] ^= 1  # changes the server's name; the body stays well-formed
    with pytest.raises(FrameError, match="checksum"):
        decoder_of(bytes(changed)).next_frame()


def test_random_body_with_a_valid_checksum_is_malformed():
    random = Random(7)
    for _ in range(RANDOM_FRAMES):
        body = random.randbytes(RANDOM_FRAME_BYTES)
        head = struct.pack("<II", len(body), crc32(body))
        with pytest.raises(FrameError):
            decoder_of(head + body).next_frame()


def test_frame_that_is_too_long_is_malformed():
    with pytest.raises(FrameError):
        decoder_of(b"\xff" * 8).next_frame()


def test_frame_received_byte_by_byte_is_decoded_after_its_last_byte():
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
    """Return the Hello of member b#1, the first frame of its connections."""
    return Hello(protocol, fleet, "member", "g", "b#1", boot, start_nonce, "", receiver)


@pytest.fixture
def transport() -> Transport:
    """Return the transport of member a#1, which does not listen and has received no Hello."""
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
    """Its count of starts is lower than before, or the same with another start nonce."""
    assert transport.rejection_of(hello()) is None
    assert transport.rejection_of(hello(boot=3, start_nonce=6)) is None
    assert transport.rejection_of(earlier).code == "put-back"


def test_second_hello_ends_the_connection_and_is_not_processed():
    # Guards against a second Hello being posted like a message, which ended the fleet thread.
    posted: list[object] = []
    transport = Transport(
        ("127.0.0.1", 0),
        "f",
        posted.append,
        lambda: 0,
        lambda receiver: Hello(PROTOCOL, "f", "member", "g", "a#1", 1, 1, "", receiver),
        lambda: "g",
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer_socket = socket.create_connection(listener.getsockname(), timeout=5)
        accepted_socket, _ = listener.accept()
    peer_socket.sendall(encode_frame(hello()) + encode_frame(hello()))
    transport._serve(accepted_socket)
    assert peer_socket.recv(1) == b""
    assert posted == []
    assert transport.counts["frames_odd"] == 1
