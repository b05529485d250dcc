"""Errors of the network code."""


class NetError(Exception):
    """The base class of all errors that this package raises itself.

    Attributes:
        reason: A description of the error for a log line or for the caller.
    """

    def __init__(self, reason: str):
        """Create an error with that reason as its text."""
        super().__init__(reason)
        self.reason = reason


class ProtocolError(NetError):
    """An error for received data that violates the protocol."""


class MessageTooLongError(ProtocolError):
    """An error for a line or object that exceeds its limit, or has no end within it.

    Attributes:
        max_bytes: The limit that was exceeded.
    """

    def __init__(self, what: str, max_bytes: int):
        """Create an error about `what`, such as `a line`."""
        super().__init__(f"{what} longer than {max_bytes} bytes")
        self.max_bytes = max_bytes


class ConfigError(NetError):
    """An error for a configuration with which the balancer cannot start or reload.

    Attributes:
        subject: The variable, file or field with the error; empty if the reason names it.
    """

    def __init__(self, reason: str, subject: str = ""):
        """Create an error whose text is the subject and the reason."""
        super().__init__(f"{subject}: {reason}" if subject else reason)
        self.subject = subject
