"""Errors of the fleet."""


class FleetError(Exception):
    """Base of the errors that this package raises."""


class FrameError(FleetError):
    """The bytes are no frame; the message says why."""


class UnreadableEntryError(FleetError):
    """An entry that this program can't read: it must not go on as if it were not there."""


class UncertainOutcomeError(FleetError):
    """What was asked for may or may not come into force; `show` tells."""
