"""Threads of the drivers."""

from threading import Event

from cypresswalk.net.threads import start_thread


def test_a_thread_with_a_restart_pause_is_started_again_after_a_failure():
    runs_left, done = [1, 2], Event()

    def run():
        if runs_left:
            raise RecursionError(runs_left.pop())
        done.set()

    start_thread(run, restart_pause=1)
    assert done.wait(5)
