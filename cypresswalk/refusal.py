"""What a command says of input that it cannot use. Knows nobody, so that every package can raise it."""


class CommandError(Exception):
    """One plain line that names the file, the field and what is allowed there."""
