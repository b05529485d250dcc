"""Log lines of `key=value` fields on standard error."""

import logging
import sys


class KeyValueFormatter(logging.Formatter):
    """Formats a record as time, level, balancer and the fields of its message."""

    def __init__(self, balancer: str):
        """Creates a formatter for the balancer of that name."""
        super().__init__()
        self.balancer = balancer

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line; a trace stands in its field `error`."""
        level = record.levelname.lower()
        line = (
            f"ts={record.created:.3f} level={level} balancer={self.balancer} {record.getMessage()}"
        )
        if record.exc_info:
            line += f" error={quote(self.formatException(record.exc_info))}"
        return line


class RateLimitFilter(logging.Filter):
    """Passes a number of warnings and errors a second and counts the others.

    The next line that passes carries the count in `left_out=`. Records of level INFO (start, stop,
    counters) are rare and always pass: a flood of warnings must not hide them.
    """

    def __init__(self, max_per_second: int):
        """Creates a filter that passes so many records a second."""
        super().__init__()
        self.max_per_second = max_per_second
        self._second = 0  # the Unix time that is being counted
        self._passed = 0  # records in that second
        self._left_out = 0  # records since the last one that passed

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record passes."""
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
    """Returns a value's text; of an error without a text, the name of its class."""
    text = str(value)
    if not text and isinstance(value, BaseException):
        return type(value).__name__
    return text


def quote(value: object) -> str:
    """Returns a field's value, in quotes if it is empty or holds a blank, `=` or the like."""
    text = describe(value)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def event(name: str, **fields: object) -> str:
    """Returns the message of an event, `event=name key=value ...`."""
    return " ".join([f"event={name}", *(f"{key}={quote(value)}" for key, value in fields.items())])


def configure(balancer: str, max_lines: int) -> logging.Logger:
    """Sends the program's log to standard error.

    Args:
        balancer: The balancer's name, which each line carries.
        max_lines: Warnings and errors a second.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(balancer))
    handler.addFilter(RateLimitFilter(max_lines))
    logger = logging.getLogger("cypresswalk")
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return logger
