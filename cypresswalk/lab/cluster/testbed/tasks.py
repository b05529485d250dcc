"""The tasks of a test bed's event loop, and how late the loop is."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.units import MILLISECOND, SECOND

LATENESS_CHECK_INTERVAL = 20 * MILLISECOND


class BackgroundTasks:
    """Runs tasks until the end; a run in which one fails says nothing.

    Attributes:
        failures: of tasks.
    """

    def __init__(self, recording: Recording):
        """No task runs yet; failures are recorded too."""
        self.failures: list[str] = []
        self._recording = recording
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancel those that still run."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.failures.append(repr(error))
            self._recording.record("rig_fault", why=repr(error))


class LatenessMonitor:
    """Measures how late the event loop is.

    Attributes:
        worst: nanoseconds.
    """

    def __init__(self) -> None:
        """Nothing is measured yet."""
        self.worst = 0

    async def run(self) -> None:
        """Measure for ever."""
        while True:
            due = time.monotonic_ns() + LATENESS_CHECK_INTERVAL
            await asyncio.sleep(LATENESS_CHECK_INTERVAL / SECOND)
            self.worst = max(self.worst, time.monotonic_ns() - due)
