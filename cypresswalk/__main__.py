"""`python -m cypresswalk`: the balancer without arguments, the commands with arguments.

The balancer is configured by its environment. Its path imports neither the commands nor any
library: it starts on small machines.
"""

import sys


def main() -> int:
    """Runs the balancer or a command; the exit code."""
    if len(sys.argv) == 1:
        from cypresswalk.service import program

        return program.main()
    from cypresswalk import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
