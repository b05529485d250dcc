"""The servers whose state has changed, so that their flows may have to migrate.

Only these are reviewed: examining all servers at each event would cost hundreds of balancers more
than everything else together.
"""

from cypresswalk.model import Server


class Reviews:
    """The servers to review, in the order of their requests, and the time of the next review.

    Args:
        now: the current time in nanoseconds; the first review is due at once.
    """

    def __init__(self, now: int):
        """Start with no server to review."""
        self.servers: dict[Server, None] = {}
        self.next_at = now

    def request(self, now: int, server: Server) -> None:
        """Request a review of the server at the next decision."""
        self.servers[server] = None
        self.next_at = now
