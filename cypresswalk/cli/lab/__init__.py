"""`cypresswalk lab`: experiments with real balancers, and fleets under faults."""

from cypresswalk.cli.lab.group import lab

__all__ = ["lab"]
