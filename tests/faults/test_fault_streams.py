"""What each fault does to a stream of bytes or datagrams."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresswalk.faults.datagram_stream import DatagramStream
from cypresswalk.faults.kinds import NEEDS, STREAMS, Fault, Kind
from cypresswalk.faults.stream import Close, Finish, Reset, Stream, Write

MILLISECOND = 1_000_000


def fault(kind, at=0, **more):
    return Fault(1, "up", at, kind, **more)


def play(faults, pieces, ended=True):
    """What comes out: bytes, how it ends, the faults done, and the steps."""
    done, steps = [], []
    stream = Stream(faults, done.append)
    steps += stream.start(0)
    for i, piece in enumerate(pieces):
        steps += stream.feed(i, piece)
    if ended:
        steps += stream.end(len(pieces))
    elif stream.due() is not None:
        steps += stream.wake(stream.due())
    assert all(a.at <= b.at for a, b in zip(steps, steps[1:]))
    data = b"".join(step.data for step in steps if isinstance(step, Write))
    return data, [type(s) for s in steps if not isinstance(s, Write)], done, steps


def one_of_each(draw):
    kind = draw(st.sampled_from(sorted(STREAMS)))
    values = {name: draw(st.integers(1, 12)) for name in NEEDS.get(kind, ())}
    return Fault(
        1,
        "up",
        draw(st.integers(0, 40)),
        kind,
        **values,
        mask=draw(st.integers(1, 99)) * (kind is Kind.GARBLE),
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_fed_a_byte_at_a_time_and_all_at_once_the_same_comes_out(data):
    faults = [one_of_each(data.draw) for _ in range(data.draw(st.integers(0, 5)))]
    said = data.draw(st.binary(max_size=60))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(said)), max_size=5)))
    pieces = [said[a:b] for a, b in zip([0, *cuts], [*cuts, len(said)])]
    whole = play(faults, [said])[:3]
    assert play(faults, [bytes([byte]) for byte in said])[:3] == whole
    assert play(faults, pieces)[:3] == whole


@pytest.mark.parametrize(
    "faults, out, ends",
    [
        ([], b"OPEN a b\r\n", [Finish]),
        ([fault(Kind.CUT, 4)], b"OPEN", [Reset]),
        ([fault(Kind.CUT, 10)], b"OPEN a b\r\n", [Reset]),  # between the last byte and the answer
        ([fault(Kind.CUT, 0)], b"", [Reset]),
        ([fault(Kind.CUT, 11)], b"OPEN a b\r\n", [Finish]),  # a place that is never reached
        ([fault(Kind.TRUNCATE, 6)], b"OPEN a", [Close]),
        ([fault(Kind.HALF_CLOSE, 6)], b"OPEN a", [Finish]),
        ([fault(Kind.BLACK_HOLE, 6)], b"OPEN a", []),
        ([fault(Kind.DROP, 4, size=2)], b"OPEN b\r\n", [Finish]),
        ([fault(Kind.JOIN, 0, size=8, ms=5), fault(Kind.CUT, 9)], b"OPEN a b\r", [Reset]),
    ],
)
def test_each_fault_is_injected_at_its_byte(faults, out, ends):
    data, how, done, _ = play(faults, [b"OPEN a b\r\n"])
    assert (data, how) == (out, ends)
    assert set(done) == {f for f in faults if f.at <= 10}


def test_garbled_bytes_all_differ_and_a_split_line_comes_in_parts():
    said = bytes(range(40))
    data, _, _, steps = play(
        [fault(Kind.GARBLE, 10, size=8, mask=5), fault(Kind.SPLIT, 8, size=4, ms=2)], [said]
    )
    assert [a == b for a, b in zip(data, said)] == [True] * 10 + [False] * 8 + [True] * 22
    writes = [step for step in steps if isinstance(step, Write)]
    assert [len(w.data) for w in writes[:3]] == [8, 2, 2] or [len(w.data) for w in writes[1:3]] == [
        2,
        2,
    ]
    assert writes[-1].at - writes[1].at >= 6 * 2 * MILLISECOND


def test_delay_latency_and_throttle_say_when():
    times = [step.at for step in play([fault(Kind.DELAY, 2, ms=5)], [b"abcd"])[3]]
    assert times == [0, 5 * MILLISECOND, 5 * MILLISECOND]
    assert [s.at for s in play([fault(Kind.LATENCY, 0, ms=5)], [b"a", b"b"])[3]][:2] == [
        5000000,
        5000001,
    ]
    times = [s.at for s in play([fault(Kind.THROTTLE, 0, rate=1000)], [b"a" * 100, b"b"])[3]]
    assert times[1] - times[0] == 100 * MILLISECOND


def test_datagrams_are_dropped_duplicated_and_swapped_by_their_number():
    plan = {
        1: [fault(Kind.DROP, 1)],
        2: [fault(Kind.DUPLICATE, 2)],
        3: [fault(Kind.SWAP, 3)],
        5: [fault(Kind.DELAY, 5, ms=7)],
        6: [fault(Kind.TRUNCATE, 6)],
    }
    stream, out = DatagramStream(lambda n: plan.get(n, []), lambda f: None), []
    for i in range(7):
        out += stream.feed(0, b"%d%d" % (i, i))
    assert [w.data for w in out] == [b"00", b"22", b"22", b"44", b"33", b"55", b"6"]
    assert [w.at for w in out] == [0] * 5 + [7 * MILLISECOND, 0]
