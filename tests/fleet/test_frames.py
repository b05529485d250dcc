"""Frames between members: what is malformed ends the connection and has no effect."""

import struct
from random import Random
from zlib import crc32

import pytest

from cypresswalk.fleet.messages import PROTOCOL, Call, FrameDecoder, FrameError, Hello, encode_frame
from cypresswalk.fleet.transport import Transport


def test_odd_frames_end_a_connection_and_have_no_effect():
    chance = Random(7)
    changed = bytearray(encode_frame(Call(1, "status", {"server": "s-1"})))
    changed[-1] ^= 1  # another server's name, and a word as good as before
    frames = FrameDecoder()
    frames.feed(bytes(changed))
    with pytest.raises(FrameError, match="checksum"):
        frames.next_frame()
    good = encode_frame(Call(1, "status", {}))
    for _ in range(400):
        frames = FrameDecoder()
        data = chance.randbytes(40)
        frames.feed(struct.pack("<II", 40, crc32(data)) + data)
        with pytest.raises(FrameError):
            frames.next_frame()
    with pytest.raises(FrameError):
        frames = FrameDecoder()
        frames.feed(b"\xff" * 8)
        frames.next_frame()
    frames = FrameDecoder()
    for byte in good[:-1]:
        frames.feed(bytes([byte]))
        assert frames.next_frame() is None
    frames.feed(good[-1:])
    assert frames.next_frame() == Call(1, "status", {})

    def hello(
        to: str = "", fleet: str = "f", protocol: int = PROTOCOL, boot: int = 2, life: int = 5
    ) -> Hello:
        return Hello(protocol, fleet, "member", "g", "b#1", boot, life, "", to)

    links = Transport(
        ("127.0.0.1", 0),
        "f",
        lambda event: None,
        lambda: 0,
        lambda to: Hello(PROTOCOL, "f", "member", "g", "a#1", 1, 1, "", to),
        lambda: "g",
    )
    assert (
        links.rejection_of(hello()) is None
        and links.rejection_of(hello(to="a#1")) is None
        and links.rejection_of(hello(boot=3, life=6)) is None
    )
    codes = [
        links.rejection_of(odd).code
        for odd in (
            hello(fleet="x"),
            hello(protocol=PROTOCOL + 1),
            hello(to="a#0"),
            hello(boot=2, life=7),
            hello(boot=3, life=7),
        )
    ]
    assert codes == ["fleet", "protocol", "replaced", "put-back", "put-back"]
