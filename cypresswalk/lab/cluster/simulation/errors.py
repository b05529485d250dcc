"""Exceptions that end a simulation or a simulated process."""


class ViolationError(Exception):
    """A rule that the simulation checks was violated."""


class ProcessKilledError(Exception):
    """The simulated process is killed in the middle of a disk operation."""
