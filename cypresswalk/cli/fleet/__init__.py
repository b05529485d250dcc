"""`cypresswalk fleet`: queries and commands for the balancers of a fleet."""

from cypresswalk.cli.fleet.group import fleet

__all__ = ["fleet"]
