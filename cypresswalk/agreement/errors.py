"""Errors of this package."""


class AgreementError(Exception):
    """Base of all errors of this package; the text says what is wrong."""


class BusyError(AgreementError):
    """This member can't take the request now; it may be made again, perhaps of another member."""


class LogDivergedError(AgreementError):
    """The log contradicts what is committed: this member must not go on."""


class DamagedLogError(AgreementError):
    """Acknowledged entries may be lost: the member must join anew as another incarnation."""


class ForeignFileError(AgreementError):
    """The file belongs to another member, fleet or program version, and must not be replaced."""
