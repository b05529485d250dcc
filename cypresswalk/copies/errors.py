"""Errors of this package."""


class ReplicationError(Exception):
    """Base of all errors of this package; its text describes the cause."""


class DataLostError(ReplicationError):
    """Raised if the stored data of a replica is damaged or not its latest, so it can't be used."""
