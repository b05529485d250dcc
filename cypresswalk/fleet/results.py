"""What came of a command."""

from typing import NamedTuple


class CommandResult(NamedTuple):
    """Whether the command changed the state as asked, and the answer for people.

    Stored in snapshots beside the command's id, so that a repeated command gets the same answer.
    """

    accepted: bool
    message: str
