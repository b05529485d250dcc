"""Threads of the drivers."""

import _thread
import logging
import threading
import time
from collections.abc import Callable

from cypresswalk.model import SECOND
from cypresswalk.net.logs import event

log = logging.getLogger(__name__)
# The stack size is the interpreter's, not the call's: one thread at a time sets it and starts.
_start_lock = threading.Lock()


def start_thread(
    run: Callable[[], object], restart_pause: int = 0, stack_bytes: int = 0, name: str = ""
) -> None:
    """Runs a function in a thread that ends when it returns.

    A failure is logged as `thread_failed`. The thread is a bare one of the interpreter's, which
    starts faster than `threading.Thread` and is never joined.

    Args:
        run: The function.
        restart_pause: Nanoseconds after which a run that failed is begun again; 0 for not at all.
            For loops that the balancer cannot do without, such as accepting clients.
        stack_bytes: The thread's stack; 0 for the size that is set for the process.
        name: Names the thread in the log; the function's own name if it is empty.

    Raises:
        RuntimeError: The system starts no further thread.
    """

    def run_logged() -> None:
        """Runs it; logs an exception, and begins anew where that is asked for."""
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
