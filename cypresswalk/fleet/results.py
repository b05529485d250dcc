"""Result of a command."""

from typing import NamedTuple


class CommandResult(NamedTuple):
    """Result of a command on the agreed state.

    Snapshots store it with the command's id, so that a repeated command gets the same answer.

    Attributes:
        accepted: whether the command was accepted; the state may have been as requested before.
        message: answer for people.
    """

    accepted: bool
    message: str
