"""Levels of the program's loggers while a simulation runs."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def only_critical(*names: str) -> Iterator[None]:
    """Let the named loggers log critical messages only, until the context ends.

    The levels are restored, since a simulation may run in a process that does other work after it.

    Args:
        names: names of the loggers.
    """
    loggers = [logging.getLogger(name) for name in names]
    levels = [logger.level for logger in loggers]
    for logger in loggers:
        logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        for logger, level in zip(loggers, levels, strict=True):
            logger.setLevel(level)
