"""TOML files decoded and validated into pydantic models, each error as one line with file and field.

The interface is `read`. tomllib parses (the standard library's), pydantic validates: it names every wrong field and
what is allowed there, which msgspec (the first error alone) and hand-written checks do not."""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from cypresswalk.refusal import CommandError


class Table(BaseModel):
    """A table of such a file: unknown names are errors, since a misspelt one would pass for a default."""

    model_config = ConfigDict(extra="forbid", frozen=True)


Model = TypeVar("Model", bound=BaseModel)


def field(place: tuple) -> str:
    """`('servers', 0, 'cores')` as `servers[0].cores`."""
    text = ""
    for part in place:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text


def read(path: str | Path, model: type[Model]) -> Model:
    """The file as that model. Raises Refusal with a line for each thing that is wrong."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CommandError(f"{path}: not TOML: {error}") from None
    return decode(data, model, str(path))


def decode(data: object, model: type[Model], source: str) -> Model:
    """Raises Refusal, as `read` does."""
    try:
        return model.model_validate(data)
    except ValidationError as error:
        raise CommandError(
            "\n".join(
                ": ".join([source, *([field(e["loc"])] if e["loc"] else []), said(e)])
                for e in error.errors()
            )
        ) from None


def said(error: dict) -> str:
    text = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        return "no such field"
    given = error.get("input")
    plain = isinstance(given, (str, int, float, bool)) and len(str(given)) < 80
    return f"{text[:1].lower()}{text[1:]}" + (f", not {given!r}" if plain else "")
