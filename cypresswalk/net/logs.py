"""Logging to standard error, in lines of `key=value` fields."""

import logging
import sys


class KeyValueFormatter(logging.Formatter):
    """The formatter of lines with the time, the level, the balancer and a message's fields."""

    def __init__(self, balancer: str):
        """Create a formatter for the balancer of that name."""
        super().__init__()
        self.balancer = balancer

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; an exception's traceback is in its field `error`."""
        level = record.levelname.lower()
        line = (
            f"ts={record.created:.3f} level={level} balancer={self.balancer} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" error={quote(self.formatException(record.exc_info))}"
        return line


class RateLimitFilter(logging.Filter):
    """A filter that limits warnings and errors per second and counts those left out.

    The next line that passes has the count in `left_out=`. Records of level INFO (start, stop,
    counters) are rare and always pass, so that a flood of warnings cannot hide them.
    """

    def __init__(self, max_per_second: int):
        """Create a filter that passes `max_per_second` records per second."""
        super().__init__()
        self.max_per_second = max_per_second
        self._second = 0  # the current second, as Unix time
        self._passed = 0  # records that passed in that second
        self._left_out = 0  # records left out since the last one that passed

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record passes."""
        if int(record.created) != self._second:
            self._second = int(record.created)
            self._passed = 0
        if self._passed >= self.max_per_second and record.levelno != logging.INFO:
            self._left_out += 1
            return False
        self._passed += 1
        if self._left_out:
            record.msg = f"{record.msg} left_out={self._left_out}"
            self._left_out = 0
        return True


def describe(value: object) -> str:
    """Return a value's text, or for an error without a text the name of its class."""
    text = str(value)
    if not text and isinstance(value, BaseException):
        return type(value).__name__
    return text


def quote(value: object) -> str:
    """Return a field's value, in quotes if it is empty or contains spaces, `=` or the like."""
    text = describe(value)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def event(name: str, **fields: object) -> str:
    """Return the message of an event, `event=name key=value ...`."""
    return " ".join([f"event={name}", *(f"{key}={quote(value)}" for key, value in fields.items())])


def configure(balancer: str, max_lines: int) -> logging.Logger:
    """Configure the program's logging to standard error.

    Args:
        balancer: The balancer's name, which is part of each line.
        max_lines: The most warnings and errors per second.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(balancer))
    handler.addFilter(RateLimitFilter(max_lines))
    logger = logging.getLogger("cypresswalk")
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return logger
