"""The edge load balancer of a zone. No I/O, no clock."""


class EdgeLoadBalancer:
    """Distributes clients over the balancers of a zone that it believes to be up.

    Its host tells it which are, late.
    """

    def __init__(self, zone: str, balancers: list[str]):
        """Start with all balancers down."""
        self.zone = zone
        self.up = dict.fromkeys(balancers, False)
        self.turn = 0

    def mark_up(self, balancer: str) -> None:
        """Send clients to a balancer of this zone from now on."""
        if balancer in self.up:
            self.up[balancer] = True

    def mark_down(self, balancer: str) -> None:
        """Send no clients to a balancer from now on."""
        if balancer in self.up:
            self.up[balancer] = False

    def pick(self) -> str | None:
        """Return the next one that is up, in turns and regardless of load; None if none is."""
        serving = [name for name, up in self.up.items() if up]
        if not serving:
            return None
        self.turn += 1
        return serving[self.turn % len(serving)]
