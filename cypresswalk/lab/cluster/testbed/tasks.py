"""The background tasks of a testbed's event loop, and a measurement of the loop's lateness."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.units import MILLISECOND, SECOND

LATENESS_CHECK_INTERVAL = 20 * MILLISECOND


class BackgroundTasks:
    """The background tasks of a run.

    A failed task makes the run's result invalid; each failure is reported as a violation.

    Attributes:
        failures: exceptions of failed tasks, as text.
    """

    def __init__(self, recording: Recording):
        """Create a set without tasks; failures are also written to the recording."""
        self.failures: list[str] = []
        self._recording = recording
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Cancel all tasks that are still running."""
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
    """A measurement of how late the event loop runs its timers.

    Attributes:
        worst: largest lateness so far, in nanoseconds.
    """

    def __init__(self) -> None:
        """Create a measurement without samples."""
        self.worst = 0

    async def run(self) -> None:
        """Measure repeatedly, until cancelled."""
        while True:
            due = time.monotonic_ns() + LATENESS_CHECK_INTERVAL
            await asyncio.sleep(LATENESS_CHECK_INTERVAL / SECOND)
            self.worst = max(self.worst, time.monotonic_ns() - due)
