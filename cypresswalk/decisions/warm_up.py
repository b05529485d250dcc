"""Warm-up: a server that has started recently has only a fraction of its capacity."""

from cypresswalk.model import Server, Settings


class WarmUp:
    """The warm-up state of servers, computed from their start times and the settings."""

    def __init__(self, settings: Settings):
        """Keep the settings."""
        self.settings = settings

    def applies(self, now: int, server: Server) -> bool:
        """Return whether the server is still warming up."""
        return server.started_at > 0 and now - server.started_at < self.settings.warm_up_time

    def fraction(self, now: int, server: Server) -> float:
        """Return the fraction of its capacity that the server is assumed to have.

        The fraction grows linearly over the warm-up time.
        """
        initial = self.settings.warm_up_initial_fraction
        whole = self.settings.warm_up_time
        age = min(max(now - server.started_at, 0), whole)
        return initial + (1 - initial) * age / whole
