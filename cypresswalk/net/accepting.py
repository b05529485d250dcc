"""The loop of a thread that accepts connections at a listening socket."""

import socket
import time
from collections.abc import Callable, Iterator


def never() -> bool:
    """Return False; the default of `stopping`, for a loop that ends with the process."""
    return False


def accept_connections(
    listener: socket.socket,
    retry_pause: float,
    on_failure: Callable[[OSError], None],
    stopping: Callable[[], bool] = never,
) -> Iterator[socket.socket]:
    """Yield each accepted connection.

    After a failure accepting is tried again: descriptors may run short until other connections
    close.

    Args:
        listener: The listening socket, in blocking mode.
        retry_pause: The pause after a failure before the next try, in seconds.
        on_failure: A function called with each error, unless `stopping` returns True then.
        stopping: A function that returns whether to end the loop, called before each try and after
            a failure.
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
