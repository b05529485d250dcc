"""Reads batches of events from stdin and writes a reply to each to stdout until the input ends."""

import sys

from cypresswalk.benchlink.host import Host
from cypresswalk.benchlink.wire import BATCH_HEADER, WireError


def read_input(count: int, what: str, at_end_ok: bool = False) -> bytes | None:
    """Return `count` bytes of the input, or None if it has ended and `at_end_ok` is set.

    Raises:
        WireError: The input ended too early.
    """
    data = sys.stdin.buffer.read(count)
    if not data and at_end_ok:
        return None
    if len(data) < count:
        raise WireError(f"{what}: input ended after {len(data)} of {count} bytes")
    return data


def main() -> int:
    """Answer batches until the input ends; return the exit code."""
    host = Host()
    batch = 0
    try:
        while (
            header := read_input(BATCH_HEADER.size, f"header of batch {batch}", at_end_ok=True)
        ) is not None:
            count, length, clock = BATCH_HEADER.unpack(header)
            if length < 8:
                raise WireError(
                    f"header of batch {batch}: length {length} is too short for the clock"
                )
            body = read_input(length - 8, f"batch {batch}")
            assert body is not None  # read_input raises at the end of the input
            sys.stdout.buffer.write(host.answer(count, clock, body))
            sys.stdout.buffer.flush()
            batch += 1
    except WireError as error:
        print(f"cypresswalk.benchlink: batch {batch}: {error}", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
