"""`python -m cypresswalk`: without arguments the balancer, told by its environment what to do; with arguments the
commands. The balancer's path imports neither the commands nor any library: it starts on small machines."""

import sys


def main() -> int:
    if len(sys.argv) == 1:
        from cypresswalk.service.program import main as start
    else:
        from cypresswalk.cli import main as start
    return start()


if __name__ == "__main__":
    sys.exit(main())
