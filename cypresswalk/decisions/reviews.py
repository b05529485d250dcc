"""Servers of which something was heard: flows there may have to migrate.

Only these are looked at: walking all servers at each event would cost hundreds of balancers more
than all else together.
"""

from cypresswalk.model import Server


class Reviews:
    """Servers to look at, in the order in which they were heard of, and when to look next.

    Args:
        now: nanoseconds; the first look is due at once.
    """

    def __init__(self, now: int):
        """Begin with nothing to review."""
        self.servers: dict[Server, None] = {}
        self.next_at = now

    def request(self, now: int, server: Server) -> None:
        """Look at that server at the next chance."""
        self.servers[server] = None
        self.next_at = now
