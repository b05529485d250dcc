"""The times at which the endpoint list is requested, where it must be polled."""

from cypresswalk.decisions.hashing import Draws
from cypresswalk.model import SECOND, Settings

MAX_BACKOFF_DOUBLINGS = 4
BACKOFF_JITTER = 0.3


class ListPolling:
    """The request for the list, repeated after each failed call with exponential backoff.

    In production the watch itself repeats a failed call sooner (`net/discovery.py`). This backoff
    applies to hosts that leave the repetition to the decisions.

    One service answers the calls in turn, so repeating them at once would keep it overloaded.
    """

    def __init__(self, settings: Settings, draws: Draws, now: int):
        """Schedule the first request at once, if the list is polled."""
        self.settings = settings
        self._draws = draws
        self._failures = 0
        self.next_at: int | None = now if settings.list_polled else None

    def on_failed(self, now: int) -> None:
        """Schedule another request after a failed call or a broken subscription."""
        self._failures += 1
        backoff = SECOND << min(self._failures - 1, MAX_BACKOFF_DOUBLINGS)
        wait = min(backoff, self.settings.max_list_retry_interval // 4)
        self.next_at = now + self._draws.jittered(wait, BACKOFF_JITTER)

    def on_answered(self) -> None:
        """Reset the backoff, because a list has arrived."""
        self._failures = 0

    def take_due(self, now: int) -> bool:
        """Return whether the list must be requested now, and if so mark it as requested."""
        if self.next_at is None or now < self.next_at:
            return False
        self.next_at = None
        return True
