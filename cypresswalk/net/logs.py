"""Log lines as key=value, on standard error."""

import logging
import sys


class KeyValue(logging.Formatter):
    def __init__(self, name: str):
        super().__init__()
        self.name = name

    def format(self, record: logging.LogRecord) -> str:
        level = record.levelname.lower()
        line = f"ts={record.created:.3f} level={level} balancer={self.name} {record.getMessage()}"
        if record.exc_info:
            line += f" error={quoted(self.formatException(record.exc_info))}"
        return line


class Flood(logging.Filter):
    """Passes so many lines a second, then none, and says with the next line how many were left out. What says how the
    balancer is doing (start, stop, end, counters) is seldom and always passes: bad clients must not hide it."""

    def __init__(self, most: int):
        super().__init__()
        self.most, self.second, self.passed, self.left_out = most, 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            self.second, self.passed = int(record.created), 0
        if self.passed >= self.most and record.levelno != logging.INFO:
            self.left_out += 1
            return False
        self.passed += 1
        if self.left_out:
            record.msg, self.left_out = f"{record.msg} left_out={self.left_out}", 0
        return True


def quoted(value: object) -> str:
    text = str(value)
    plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return (
        text
        if plain
        else '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    )


def event(name: str, **values: object) -> str:
    return " ".join([f"event={name}", *(f"{key}={quoted(value)}" for key, value in values.items())])


def start(name: str, most: int) -> logging.Logger:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue(name))
    handler.addFilter(Flood(most))
    logger = logging.getLogger("cypresswalk")
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(logging.INFO)
    return logger
