"""Errors of this package."""


class CopiesError(Exception):
    """Base of all errors of this package; the text says what is wrong."""


class DataLostError(CopiesError):
    """What this replica had on disk can't be relied on."""
