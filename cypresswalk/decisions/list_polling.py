"""When the endpoint list is asked for, where it comes on request only."""

from cypresswalk.decisions.hashing import Draws
from cypresswalk.model import SECOND, Settings

MAX_BACKOFF_DOUBLINGS = 4
BACKOFF_JITTER = 0.3


class ListPolling:
    """Asks for the list once, and again after each failed call, with exponential backoff.

    On the platform the watch itself repeats a failed call sooner (`net/discovery.py`); this wait
    counts where a host leaves that to the decisions.

    Calls wait in turn at one service: coming back at once would keep it jammed.
    """

    def __init__(self, settings: Settings, draws: Draws, now: int):
        """Ask for the list at once, where it is polled."""
        self.settings = settings
        self._draws = draws
        self._failures = 0
        self.next_at: int | None = now if settings.list_polled else None

    def on_failed(self, now: int) -> None:
        """A call failed or the subscription broke: ask again after a while."""
        self._failures += 1
        backoff = SECOND << min(self._failures - 1, MAX_BACKOFF_DOUBLINGS)
        wait = min(backoff, self.settings.poll_within // 4)
        self.next_at = now + self._draws.jittered(wait, BACKOFF_JITTER)

    def on_answered(self) -> None:
        """A list has come."""
        self._failures = 0

    def take_due(self, now: int) -> bool:
        """Return whether the list is to be asked for now; it is then counted as asked for."""
        if self.next_at is None or now < self.next_at:
            return False
        self.next_at = None
        return True
