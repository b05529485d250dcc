"""Errors of the network code."""


class NetError(Exception):
    """Base of all errors that this package raises itself.

    Attributes:
        reason: What is wrong, in words for a log line or for the caller.
    """

    def __init__(self, reason: str):
        """Creates an error with that reason as its text."""
        super().__init__(reason)
        self.reason = reason


class ProtocolError(NetError):
    """What came over a connection does not follow the protocol."""


class MessageTooLongError(ProtocolError):
    """A line or object exceeds its limit, or has no end within it.

    Attributes:
        max_bytes: The limit that was exceeded.
    """

    def __init__(self, what: str, max_bytes: int):
        """Creates an error about `what`, such as `a line`."""
        super().__init__(f"{what} of over {max_bytes} bytes")
        self.max_bytes = max_bytes


class ConfigError(NetError):
    """The balancer cannot start, or reload, with this configuration.

    Attributes:
        subject: The variable, file or field that is wrong; empty if the reason names it.
    """

    def __init__(self, reason: str, subject: str = ""):
        """Creates an error whose text is the subject and the reason."""
        super().__init__(f"{subject}: {reason}" if subject else reason)
        self.subject = subject
