"""Decodes and validates TOML files into pydantic models; each error is one line with its field.

The interface is `read`, and `decode` for data that is already parsed. pydantic validates because it
reports every wrong field and what is allowed there; msgspec reports only the first error, and
hand-written checks do not report all.
"""

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic_core import ErrorDetails

from cypresswalk.refusal import CommandError

MAX_SHOWN_VALUE = 80  # a wrong value of fewer characters is shown in its error


class Table(BaseModel):
    """A table of a TOML file.

    Unknown keys are errors; otherwise a misspelt key would silently leave the default in force.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


ModelT = TypeVar("ModelT", bound=BaseModel)


def field_path(location: Sequence[str | int]) -> str:
    """Return a field's path as text: `servers[0].cores` for `('servers', 0, 'cores')`."""
    text = ""
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else str(part)
    return text


def read(path: str | Path, model: type[ModelT]) -> ModelT:
    """Read and validate a file; raise CommandError with one line for each error."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror or error}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CommandError(f"{path}: not TOML: {error}") from error
    return decode(data, model, str(path))


def decode(data: object, model: type[ModelT], source: str) -> ModelT:
    """Validate parsed data, named `source` in errors; raise CommandError as `read` does."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        lines = [
            ": ".join([source, *([field_path(e["loc"])] if e["loc"] else []), error_message(e)])
            for e in error.errors()
        ]
        raise CommandError("\n".join(lines)) from error


def error_message(error: ErrorDetails) -> str:
    """Return the description of what is wrong with one field."""
    if error["type"] == "extra_forbidden":
        return "no such field"
    text = error["msg"].removeprefix("Value error, ")
    text = f"{text[:1].lower()}{text[1:]}"
    given = error.get("input")
    if isinstance(given, (str, int, float, bool)) and len(str(given)) < MAX_SHOWN_VALUE:
        return f"{text}, not {given!r}"
    return text
