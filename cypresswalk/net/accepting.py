"""The loop of a thread that accepts connections at a listening socket."""

import socket
import time
from collections.abc import Callable, Iterator


def never() -> bool:
    """For a loop that ends with the process."""
    return False


def accept_connections(
    listener: socket.socket,
    retry_pause: float,
    on_failure: Callable[[OSError], None],
    stopping: Callable[[], bool] = never,
) -> Iterator[socket.socket]:
    """Yields each connection as it comes.

    Accepting may fail for a while, as where descriptors run short: others close in time.

    Args:
        listener: blocks in `accept`.
        retry_pause: seconds after a failure until it is tried again.
        on_failure: is called with each failure, except one that `stopping` explains.
        stopping: whether the loop is to end; asked before each try and after a failure.
    """
    while not stopping():
        try:
            sock, _ = listener.accept()
        except OSError as error:
            if stopping():
                return
            on_failure(error)
            time.sleep(retry_pause)
            continue
        yield sock
