"""Starts the threads of the drivers."""

import _thread
import logging
import threading
import time
from collections.abc import Callable

from cypresswalk.model import SECOND
from cypresswalk.net.logs import event

log = logging.getLogger(__name__)
# The stack size is a setting of the whole interpreter, so only one thread at a time may set it and
# start a thread.
_start_lock = threading.Lock()


def start_thread(
    run: Callable[[], object], restart_pause: int = 0, stack_bytes: int = 0, name: str = ""
) -> None:
    """Run a function in a thread that ends when it returns.

    An exception is logged as `thread_failed`. The thread is started with `_thread`, which is faster
    than `threading.Thread`; it cannot be joined.

    Args:
        run: The function.
        restart_pause: The pause in nanoseconds before a failed function is run again, or 0 not to
            run it again. For loops that the balancer needs, such as accepting clients.
        stack_bytes: The thread's stack size in bytes; 0 for the process's default.
        name: The thread's name in the log; if empty, the function's own name.

    Raises:
        RuntimeError: The system cannot start another thread.
    """

    def run_logged() -> None:
        """Run the function and log an exception; run it again if there is a restart pause."""
        while True:
            try:
                run()
                return
            except Exception:
                thread = name or getattr(run, "__qualname__", repr(run))
                log.error(event("thread_failed", thread=thread), exc_info=True)
            if not restart_pause:
                return
            time.sleep(restart_pause / SECOND)

    with _start_lock:
        usual_bytes = threading.stack_size(stack_bytes) if stack_bytes else 0
        try:
            _thread.start_new_thread(run_logged, ())
        finally:
            if stack_bytes:
                threading.stack_size(usual_bytes)
