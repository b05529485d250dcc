"""The error for input that a command can't use; every package can raise it."""


class CommandError(Exception):
    """One plain line for each error, with the file, the field and what is allowed there."""
