"""The error for input that a command can't use; any package may raise it."""


class CommandError(Exception):
    """Unusable input. The text has a line for each error: file, field and what is allowed there."""
