"""Exceptions of this package."""


class AgreementError(Exception):
    """Base class of all exceptions of this package."""


class BusyError(AgreementError):
    """This member can't accept the request now; the caller may retry, perhaps at another member."""


class LogDivergedError(AgreementError):
    """The log conflicts with a committed entry: this member must not continue."""


class DamagedLogError(AgreementError):
    """Acknowledged entries may be lost: the member must rejoin under a new incarnation."""


class ForeignFileError(AgreementError):
    """The file belongs to another member, fleet or program version and must not be overwritten."""
