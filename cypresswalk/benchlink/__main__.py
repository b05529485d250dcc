"""Reads batches on standard input and answers each on standard output until the input ends."""

import sys

from cypresswalk.benchlink.host import Host
from cypresswalk.benchlink.wire import HEADER, WireError


def read(count: int, what: str, at_end_ok: bool = False) -> bytes | None:
    """Return so many bytes of the input, None at its end where it may end.

    Raises:
        WireError: the input ended before.
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
        while (head := read(HEADER.size, f"header of batch {batch}", at_end_ok=True)) is not None:
            count, length, clock = HEADER.unpack(head)
            if length < 8:
                raise WireError(f"header of batch {batch}: length {length} does not hold the clock")
            body = read(length - 8, f"batch {batch}")
            assert body is not None  # the input may not end there
            sys.stdout.buffer.write(host.answer(count, clock, body))
            sys.stdout.buffer.flush()
            batch += 1
    except WireError as error:
        print(f"cypresswalk.benchlink: batch {batch}: {error}", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
