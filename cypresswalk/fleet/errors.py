"""Exceptions of the fleet package."""


class FleetError(Exception):
    """Base class of the exceptions that this package raises."""


class FrameError(FleetError):
    """Received bytes are not a valid frame; the message says why."""


class UnreadableEntryError(FleetError):
    """This program can't read an entry of the log, and must not continue without it."""


class UncertainOutcomeError(FleetError):
    """A command may or may not take effect; `show` prints the current state."""
