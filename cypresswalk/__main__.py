"""`python -m cypresswalk`: runs the balancer without arguments, else an operator command.

The balancer is configured by environment variables. To run it, neither the commands nor any
third-party library is imported, since it must start on small machines.
"""

import sys


def main() -> int:
    """Run the balancer or a command and return the exit code."""
    if len(sys.argv) == 1:
        from cypresswalk.service import program

        return program.main()
    from cypresswalk import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
