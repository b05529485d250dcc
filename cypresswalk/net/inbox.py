"""The queue of the deciding thread, and threads that feed it."""

import _thread
import logging
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue

from cypresswalk.model import SECOND
from cypresswalk.net.clock import Clock
from cypresswalk.net.logs import event

log = logging.getLogger(__name__)


class Inbox:
    def __init__(self, clock: Clock):
        self.clock = clock
        self.queue: SimpleQueue = SimpleQueue()
        self.calls: SimpleQueue = SimpleQueue()  # what operators ask, ahead of all that waits

    def post(self, call: Callable, *words: object) -> None:
        """The call is made with the time of this moment, by the deciding thread."""
        self.queue.put((self.clock(), call, words))

    def first(self, call: Callable, *words: object) -> None:
        """Before all that waits. Guards against an operator's call behind a crowd's events: a caller waits a second."""
        self.calls.put((call, words))
        self.post(nothing)  # whoever waits on the other queue wakes up


def nothing(now: int) -> None:
    pass


starting = threading.Lock()  # the stack size is the interpreter's, not the call's


def start_thread(run: Callable[[], None], again_after: int = 0, stack: int = 0) -> None:
    """On the usual small stack if none is named. Where a pause is given, a run that failed in an unforeseen way
    is begun anew after it: guards against a balancer that lives on but accepts nobody, or follows no list."""

    def guarded():
        while True:
            try:
                return run()
            except Exception:
                log.error(event("thread_failed", run=run), exc_info=True)
            if not again_after:
                return
            time.sleep(again_after / SECOND)

    with starting:
        usual = threading.stack_size(stack) if stack else 0
        try:
            _thread.start_new_thread(guarded, ())
        finally:
            if stack:
                threading.stack_size(usual)
