"""The effect of each fault on a stream of bytes or datagrams."""

from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresswalk.faults.datagram_stream import DatagramStream
from cypresswalk.faults.kinds import STREAM_KINDS, STREAM_PARAMETERS, Fault, Kind
from cypresswalk.faults.stream import MILLISECOND, Close, Finish, Reset, Step, Stream, Write

REQUEST = b"OPEN a b\r\n"


def fault(kind: Kind, at: int = 0, **parameters: int) -> Fault:
    """Return a fault of the first connection, in the direction "up"."""
    return Fault(1, "up", at, kind, **parameters)


@dataclass
class Played:
    """The output of a stream.

    Attributes:
        data: all bytes written.
        endings: classes of the steps other than writes.
        injected: faults that were injected.
        steps: all steps.
    """

    data: bytes
    endings: list[type[Step]]
    injected: list[Fault]
    steps: list[Step]

    def outcome(self) -> tuple[Any, ...]:
        """Return what must not depend on how the received bytes were divided."""
        return self.data, self.endings, self.injected

    def writes(self) -> list[Write]:
        """Return the steps that write bytes."""
        return [step for step in self.steps if isinstance(step, Write)]

    def times(self) -> list[int]:
        """Return when each step is due."""
        return [step.at for step in self.steps]


def play(faults: list[Fault], pieces: list[bytes]) -> Played:
    """Feed pieces to a stream, one per nanosecond, and end it; return the output."""
    injected: list[Fault] = []
    stream = Stream(faults, injected.append)
    steps = list(stream.start(0))
    for now, piece in enumerate(pieces):
        steps += stream.feed(now, piece)
    steps += stream.end(len(pieces))
    assert all(earlier.at <= later.at for earlier, later in pairwise(steps))
    data = b"".join(step.data for step in steps if isinstance(step, Write))
    endings: list[type[Step]] = [type(step) for step in steps if not isinstance(step, Write)]
    return Played(data, endings, injected, steps)


@st.composite
def stream_faults(draw: st.DrawFn) -> Fault:
    """Draw a fault of any TCP kind with the parameters that it requires."""
    kind = draw(st.sampled_from(sorted(STREAM_KINDS)))
    parameters = {name: draw(st.integers(1, 12)) for name in STREAM_PARAMETERS.get(kind, ())}
    if kind is Kind.GARBLE:
        parameters["mask"] = draw(st.integers(1, 99))
    return fault(kind, draw(st.integers(0, 40)), **parameters)


@st.composite
def pieces_of_data(draw: st.DrawFn) -> list[bytes]:
    """Draw some bytes, divided at any places."""
    data = draw(st.binary(max_size=60))
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=5)))
    return [data[start:end] for start, end in pairwise([0, *cuts, len(data)])]


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(stream_faults(), max_size=5), pieces_of_data())
def test_outcome_does_not_depend_on_how_the_bytes_are_divided(faults, pieces):
    data = b"".join(pieces)
    whole = play(faults, [data]).outcome()
    assert play(faults, [bytes([byte]) for byte in data]).outcome() == whole
    assert play(faults, pieces).outcome() == whole


@pytest.mark.parametrize(
    "faults, data, endings",
    [
        pytest.param([], REQUEST, [Finish], id="no fault"),
        pytest.param([fault(Kind.CUT, 4)], b"OPEN", [Reset], id="cut"),
        pytest.param([fault(Kind.CUT, 10)], REQUEST, [Reset], id="cut after the last byte"),
        pytest.param([fault(Kind.CUT, 0)], b"", [Reset], id="cut before the first byte"),
        pytest.param([fault(Kind.CUT, 11)], REQUEST, [Finish], id="cut that is never reached"),
        pytest.param([fault(Kind.TRUNCATE, 6)], b"OPEN a", [Close], id="truncate"),
        pytest.param([fault(Kind.HALF_CLOSE, 6)], b"OPEN a", [Finish], id="half close"),
        pytest.param([fault(Kind.BLACK_HOLE, 6)], b"OPEN a", [], id="black hole"),
        pytest.param([fault(Kind.DROP, 4, size=2)], b"OPEN b\r\n", [Finish], id="drop"),
        pytest.param(
            [fault(Kind.JOIN, 0, size=8, ms=5), fault(Kind.CUT, 9)],
            b"OPEN a b\r",
            [Reset],
            id="join and cut",
        ),
    ],
)
def test_each_fault_is_injected_at_its_byte(faults, data, endings):
    played = play(faults, [REQUEST])
    assert (played.data, played.endings) == (data, endings)
    assert set(played.injected) == {found for found in faults if found.at <= len(REQUEST)}


def test_all_garbled_bytes_differ_and_split_bytes_are_written_in_parts():
    data = bytes(range(40))
    garble = fault(Kind.GARBLE, 10, size=8, mask=5)
    split = fault(Kind.SPLIT, 8, size=4, ms=2)
    played = play([garble, split], [data])
    unchanged = [sent == received for sent, received in zip(played.data, data, strict=True)]
    assert unchanged == [True] * 10 + [False] * 8 + [True] * 22
    writes = played.writes()
    sizes = [len(write.data) for write in writes[:3]]
    assert sizes == [8, 2, 2] or sizes[1:] == [2, 2]
    assert writes[-1].at - writes[1].at >= 6 * 2 * MILLISECOND


def test_a_delay_postpones_all_later_bytes():
    played = play([fault(Kind.DELAY, 2, ms=5)], [b"abcd"])
    assert played.times() == [0, 5 * MILLISECOND, 5 * MILLISECOND]


def test_latency_delays_each_piece():
    played = play([fault(Kind.LATENCY, 0, ms=5)], [b"a", b"b"])
    assert played.times()[:2] == [5 * MILLISECOND, 5 * MILLISECOND + 1]


def test_a_throttle_limits_bytes_per_second():
    times = play([fault(Kind.THROTTLE, 0, rate=1000)], [b"a" * 100, b"b"]).times()
    assert times[1] - times[0] == 100 * MILLISECOND


def test_datagram_faults_are_applied_by_datagram_number():
    faults = {
        1: [fault(Kind.DROP, 1)],
        2: [fault(Kind.DUPLICATE, 2)],
        3: [fault(Kind.SWAP, 3)],
        5: [fault(Kind.DELAY, 5, ms=7)],
        6: [fault(Kind.TRUNCATE, 6)],
    }
    stream = DatagramStream(lambda number: faults.get(number, []), lambda injected: None)
    writes = []
    for number in range(7):
        writes += stream.feed(0, b"%d%d" % (number, number))
    assert [write.data for write in writes] == [b"00", b"22", b"22", b"44", b"33", b"55", b"6"]
    assert [write.at for write in writes] == [0] * 5 + [7 * MILLISECOND, 0]
