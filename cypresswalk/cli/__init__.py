"""The commands.

`main` parses the arguments (click) and runs one command; what a command needs is imported when it
runs. A CommandError from any package ends a command with one plain line and exit code 2.
"""

from cypresswalk.cli.main import main

__all__ = ["main"]
