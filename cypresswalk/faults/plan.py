"""Fault plans: which faults are injected into which connection.

A plan is decoded from TOML, where faults have stated places or are drawn at random, or read from a
record. Random choices depend on the seed and the connection's number only, so that neither the
machine's load nor other connections change them.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import ClassVar, Literal, Protocol

from pydantic import Field, ValidationError, field_validator, model_validator

from cypresswalk import toml
from cypresswalk.faults.kinds import (
    DATAGRAM_KINDS,
    DATAGRAM_PARAMETERS,
    STREAM_KINDS,
    STREAM_PARAMETERS,
    Fault,
    Kind,
)
from cypresswalk.refusal import CommandError

Direction = Literal["up", "down", "both"]
MAX_OFFSET = 1 << 40
MAX_SIZE = 1 << 30
MAX_PAUSE_MS = 3_600_000
PARAMETERS = ("size", "ms", "rate")


class PlacedFault(toml.Table):
    """`[[fault]]`: a fault at a stated place.

    Attributes:
        connection: a connection's number from 1, a list of numbers, or "all".
        direction: direction of the bytes.
        kind: kind of the fault.
        at: offset of a byte.
        size: number of bytes.
        ms: milliseconds.
        rate: bytes per second.
        required: for each kind the parameters that it requires.
    """

    connection: int | list[int] | Literal["all"] = "all"
    direction: Direction = "both"
    kind: Kind
    at: int = Field(0, ge=0, le=MAX_OFFSET)
    size: int = Field(0, ge=0, le=MAX_SIZE)
    ms: int = Field(0, ge=0, le=MAX_PAUSE_MS)
    rate: int = Field(0, ge=0, le=MAX_OFFSET)
    required: ClassVar[dict[Kind, set[str]]] = STREAM_PARAMETERS

    @field_validator("connection")
    @classmethod
    def check_connection(cls, value: int | list[int] | str) -> int | list[int] | str:
        """Raise ValueError for a number below 1."""
        numbers: list[int] = []
        if isinstance(value, int):
            numbers = [value]
        elif isinstance(value, list):
            numbers = value
        if any(number < 1 for number in numbers):
            raise ValueError("connections count from 1")
        return value

    @model_validator(mode="after")
    def check_parameters(self) -> "PlacedFault":
        """Raise ValueError if a parameter is missing or not one of the kind's."""
        required = self.required.get(self.kind, set())
        given = {name for name in PARAMETERS if getattr(self, name)}
        if self.kind is Kind.SPLIT:
            # The gap `ms` is optional: without it, the receiver's kernel may join the writes.
            required = {"size"} | given & {"ms"}
        if missing := required - given:
            raise ValueError(f"{self.kind.value} needs {' and '.join(sorted(missing))} above 0")
        if extra := given - required:
            raise ValueError(f"{self.kind.value} takes no {' and no '.join(sorted(extra))}")
        return self

    def applies_to(self, connection: int) -> bool:
        """Return whether the fault is to be injected into that connection."""
        if isinstance(self.connection, list):
            return connection in self.connection
        return self.connection == "all" or self.connection == connection


class PlacedDatagramFault(PlacedFault):
    """`[[datagram]]`: a fault for UDP; `connection` is the peer, `at` the datagram, from 0."""

    required: ClassVar[dict[Kind, set[str]]] = DATAGRAM_PARAMETERS


class RandomFaults(toml.Table):
    """`[[random]]`: one fault per connection and direction, with a probability of `chance`.

    Attributes:
        required: for each kind the parameters that it requires.
        chance: probability of the fault, above 0 and at most 1.
        kinds: kinds of which one is drawn.
        direction: direction of the bytes.
        within: exclusive upper bound of the fault's offset, in bytes.
        size: range of the number of bytes.
        ms: range of milliseconds.
        rate: range of bytes per second.
        first: number of the first connection that can get a fault.
    """

    required: ClassVar[dict[Kind, set[str]]] = STREAM_PARAMETERS
    chance: float = Field(gt=0, le=1)
    kinds: list[Kind] = Field(min_length=1)
    direction: Direction = "both"
    within: int = Field(4096, ge=1, le=MAX_SIZE)
    size: tuple[int, int] = (1, 16)
    ms: tuple[int, int] = (1, 50)
    rate: tuple[int, int] = (1000, 100_000)
    first: int = Field(1, ge=1)

    @field_validator(*PARAMETERS)
    @classmethod
    def check_range(cls, value: tuple[int, int]) -> tuple[int, int]:
        """Raise ValueError if the range is empty or has values that are not allowed."""
        if not 1 <= value[0] <= value[1] <= MAX_SIZE:
            raise ValueError("a range is [least, most], both from 1 on")
        return value


class RandomDatagramFaults(RandomFaults):
    """`[[random_datagram]]`: one fault per datagram, with a probability of `chance`.

    `within` is ignored.
    """

    required: ClassVar[dict[Kind, set[str]]] = DATAGRAM_PARAMETERS


class FaultPlan(Protocol):
    """The interface of plans: the faults of connections and datagrams."""

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """Return the faults of one TCP connection, sorted by direction and offset."""

    def for_datagram(self, peer: int, direction: str, number: int, seed: int) -> list[Fault]:
        """Return the faults of one datagram, numbered from 0 for each peer and direction."""

    def placed_faults(self) -> Sequence[PlacedFault | Fault]:
        """Return the faults at stated places."""


class Plan(toml.Table):
    """A plan's file; each attribute is a table of it."""

    fault: list[PlacedFault] = []
    random: list[RandomFaults] = []
    datagram: list[PlacedDatagramFault] = []
    random_datagram: list[RandomDatagramFaults] = []

    @model_validator(mode="after")
    def check_kinds(self) -> "Plan":
        """Raise ValueError if a table has a kind that does not exist for TCP, or for UDP."""
        for name, allowed, entries in (
            ("fault", STREAM_KINDS, [[f.kind] for f in self.fault]),
            ("random", STREAM_KINDS, [r.kinds for r in self.random]),
            ("datagram", DATAGRAM_KINDS, [[f.kind] for f in self.datagram]),
            ("random_datagram", DATAGRAM_KINDS, [r.kinds for r in self.random_datagram]),
        ):
            for i, kinds in enumerate(entries):
                check_allowed(f"{name}[{i}]", kinds, allowed)
        return self

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """Return the faults of one TCP connection, sorted by direction and offset."""
        faults = []
        for i, placed in enumerate(self.fault):
            for direction in (
                single_directions(placed.direction) if placed.applies_to(number) else ()
            ):
                rng = Random(f"{seed}/named/{i}/{number}/{direction}")
                faults.append(make_placed_fault(placed, number, direction, placed.at, rng))
        for i, drawn in enumerate(self.random):
            for direction in single_directions(drawn.direction) if number >= drawn.first else ():
                rng = Random(f"{seed}/random/{i}/{number}/{direction}")
                if rng.random() < drawn.chance:
                    at = rng.randrange(drawn.within)
                    faults.append(draw_fault(drawn, number, direction, at, rng))
        return sorted(faults, key=lambda f: f.sort_key)

    def for_datagram(self, peer: int, direction: str, number: int, seed: int) -> list[Fault]:
        """Return the faults of one datagram, numbered from 0 for each peer and direction."""
        faults = []
        for i, placed in enumerate(self.datagram):
            if (
                placed.applies_to(peer)
                and direction in single_directions(placed.direction)
                and placed.at == number
            ):
                rng = Random(f"{seed}/datagram/{i}/{peer}/{direction}")
                faults.append(make_placed_fault(placed, peer, direction, number, rng))
        for i, drawn in enumerate(self.random_datagram):
            if direction in single_directions(drawn.direction) and peer >= drawn.first:
                rng = Random(f"{seed}/random_datagram/{i}/{peer}/{direction}/{number}")
                if rng.random() < drawn.chance:
                    faults.append(draw_fault(drawn, peer, direction, number, rng))
        return sorted(faults, key=lambda f: f.sort_key)

    def placed_faults(self) -> Sequence[PlacedFault | Fault]:
        """Return the faults at stated places."""
        return [*self.fault, *self.datagram]


def check_allowed(place: str, kinds: list[Kind], allowed: frozenset[Kind]) -> None:
    """Raise ValueError if a kind is not allowed at that place of the plan."""
    for kind in kinds:
        if kind not in allowed:
            names = ", ".join(sorted(k.value for k in allowed))
            raise ValueError(f"{place}: {kind.value} is not one of {names}")


def single_directions(direction: str) -> tuple[str, ...]:
    """Return "up", "down" or both of them for a plan's direction."""
    return ("down", "up") if direction == "both" else (direction,)


def draw_mask(kind: Kind, rng: Random) -> int:
    """Return a random seed for garbled bytes, 0 for other kinds."""
    return rng.randrange(1, 1 << 32) if kind is Kind.GARBLE else 0


def make_placed_fault(
    spec: PlacedFault, number: int, direction: str, at: int, rng: Random
) -> Fault:
    """Return the fault of one connection and direction at a stated place."""
    mask = draw_mask(spec.kind, rng)
    return Fault(number, direction, at, spec.kind, spec.size, spec.ms, spec.rate, mask)


def draw_fault(spec: RandomFaults, number: int, direction: str, at: int, rng: Random) -> Fault:
    """Return a fault of one connection and direction with a random kind and parameters."""
    kind = rng.choice(spec.kinds)
    drawn = {name: rng.randint(*getattr(spec, name)) for name in PARAMETERS}
    required = spec.required.get(kind, set())
    parameters = {name: value if name in required else 0 for name, value in drawn.items()}
    return Fault(number, direction, at, kind, **parameters, mask=draw_mask(kind, rng))


class Replay:
    """A plan that repeats the faults of a record."""

    def __init__(self, faults: list[Fault]):
        """Use the record's faults, in any order."""
        self.faults = sorted(faults, key=lambda f: f.sort_key)

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """Return the faults of one TCP connection, sorted by direction and offset."""
        return [fault for fault in self.faults if fault.connection == number]

    def for_datagram(self, peer: int, direction: str, number: int, seed: int) -> list[Fault]:
        """Return the faults of one datagram, numbered from 0 for each peer and direction."""
        return [
            f for f in self.faults if (f.connection, f.direction, f.at) == (peer, direction, number)
        ]

    def placed_faults(self) -> Sequence[PlacedFault | Fault]:
        """Return all faults, since each has a stated place."""
        return self.faults


class RecordLine(toml.Table):
    """A line of a record; its keys are the attributes of `Fault`."""

    connection: int = Field(ge=1)
    direction: Literal["up", "down"]
    at: int = Field(ge=0)
    kind: Kind
    size: int = Field(0, ge=0)
    ms: int = Field(0, ge=0)
    rate: int = Field(0, ge=0)
    mask: int = Field(0, ge=0)


def read(path: str | Path) -> Plan:
    """Read a plan from a file. Raise CommandError with a line for each error."""
    return toml.read(path, Plan)


def read_record(path: str | Path) -> Replay:
    """Read a record from a file. Raise CommandError for the first invalid line."""
    faults = []
    try:
        with open(path, encoding="utf-8") as file:
            for number, text in enumerate(file, 1):
                faults.append(read_line(f"{path}: line {number}", text))
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}") from error
    return Replay(faults)


def read_line(place: str, text: str) -> Fault:
    """Read a line of a record. Raise CommandError, with `place` as the line's name, if invalid."""
    try:
        return Fault(**RecordLine.model_validate(json.loads(text)).model_dump())
    except ValidationError as error:
        first = error.errors()[0]
        raise CommandError(
            f"{place}: {toml.field_path(first['loc'])}: {toml.error_message(first)}"
        ) from error
    except (ValueError, RecursionError) as error:
        raise CommandError(f"{place}: not JSON: {error}") from error
