"""What ends a simulation, and what ends a simulated process."""


class ViolationError(Exception):
    """A rule that the simulation checks does not hold."""


class ProcessKilledError(Exception):
    """The process dies in the middle of a disk operation."""
