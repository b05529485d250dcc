"""Servers that warm up: those that have started lately have a part of their capacity."""

from cypresswalk.model import Server, Settings


class WarmUp:
    """How far servers have warmed up, by the settings' span."""

    def __init__(self, settings: Settings):
        """Go by the settings."""
        self.settings = settings

    def applies(self, now: int, server: Server) -> bool:
        """Return whether the server is still warming up."""
        return server.started_at > 0 and now - server.started_at < self.settings.warm_up_time

    def fraction(self, now: int, server: Server) -> float:
        """Return the part of its capacity that the server is taken to have; it grows evenly."""
        initial = self.settings.warm_up_initial_fraction
        whole = self.settings.warm_up_time
        age = min(max(now - server.started_at, 0), whole)
        return initial + (1 - initial) * age / whole
