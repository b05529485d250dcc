"""The edge load balancer of a zone. No I/O, no clock."""


class EdgeLoadBalancer:
    """A load balancer that distributes the clients of a zone over the balancers marked up.

    Its owner marks balancers up and down, with a detection delay.
    """

    def __init__(self, zone: str, balancers: list[str]):
        """Start with all balancers marked down."""
        self.zone = zone
        self.up = dict.fromkeys(balancers, False)
        self.pick_count = 0

    def mark_up(self, balancer: str) -> None:
        """Send clients to a balancer from now on, if it is of this zone."""
        if balancer in self.up:
            self.up[balancer] = True

    def mark_down(self, balancer: str) -> None:
        """Send no clients to a balancer from now on."""
        if balancer in self.up:
            self.up[balancer] = False

    def pick(self) -> str | None:
        """Return the next balancer marked up, round robin regardless of load; None if none is."""
        serving = [name for name, up in self.up.items() if up]
        if not serving:
            return None
        self.pick_count += 1
        return serving[self.pick_count % len(serving)]
