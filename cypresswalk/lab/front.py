"""The front layer of a zone: deals clients out among its balancers and notices a dead one late. No I/O, no clock."""

from random import Random


class Front:
    def __init__(self, zone: str, balancers: list[str], chance: Random):
        self.zone, self.chance = zone, chance
        self.members = dict.fromkeys(balancers, False)  # whether it is believed to serve
        self.turn = 0

    def serves(self, balancer: str) -> None:
        if balancer in self.members:
            self.members[balancer] = True

    def gone(self, balancer: str) -> None:
        if balancer in self.members:
            self.members[balancer] = False

    def pick(self) -> str | None:
        """By turns among those believed to serve: a plain layer, which knows nothing of load."""
        serving = [name for name, serves in self.members.items() if serves]
        if not serving:
            return None
        self.turn += 1
        return serving[self.turn % len(serving)]
