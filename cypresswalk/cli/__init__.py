"""The command line.

`main` parses the arguments with click and runs one command. Each command imports what it needs when
it runs, so that the others start quickly. A CommandError from any package ends the command with its
text and exit code 2.
"""

from cypresswalk.cli.main import main

__all__ = ["main"]
