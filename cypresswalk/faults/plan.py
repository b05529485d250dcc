"""The plan: which faults are injected into which connection.

It is decoded from TOML, drawn from a seed, or read back from a record. Chance comes from the seed
and the connection's number alone, so that neither the machine's load nor other connections change
it.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import ClassVar, Literal, Protocol

from pydantic import Field, ValidationError, field_validator, model_validator

from cypresswalk import toml
from cypresswalk.faults.kinds import DATAGRAM_NEEDS, DATAGRAMS, NEEDS, STREAMS, Fault, Kind
from cypresswalk.refusal import CommandError

Direction = Literal["up", "down", "both"]
MAX_OFFSET = 1 << 40
MAX_SIZE = 1 << 30
MAX_PAUSE_MS = 3_600_000
PARAMETERS = ("size", "ms", "rate")


class PlacedFault(toml.Table):
    """`[[fault]]`: a fault at a stated place.

    Attributes:
        connection: a number from 1, several, or all.
        direction: of the bytes.
        kind: what it does.
        at: offset of a byte.
        size: bytes.
        ms: milliseconds.
        rate: bytes per second.
    """

    connection: int | list[int] | Literal["all"] = "all"
    direction: Direction = "both"
    kind: Kind
    at: int = Field(0, ge=0, le=MAX_OFFSET)
    size: int = Field(0, ge=0, le=MAX_SIZE)
    ms: int = Field(0, ge=0, le=MAX_PAUSE_MS)
    rate: int = Field(0, ge=0, le=MAX_OFFSET)
    needs: ClassVar[dict[Kind, set[str]]] = NEEDS

    @field_validator("connection")
    @classmethod
    def check_connection(cls, value: int | list[int] | str) -> int | list[int] | str:
        """Raises ValueError for a number below 1."""
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
        """Raises ValueError where a parameter lacks, or is not the kind's."""
        needs = self.needs.get(self.kind, set())
        given = {name for name in PARAMETERS if getattr(self, name)}
        if self.kind is Kind.SPLIT:
            # The gap may be left out: then reads split where the kernel lets them.
            needs = {"size"} | given & {"ms"}
        if missing := needs - given:
            raise ValueError(f"{self.kind.value} needs {' and '.join(sorted(missing))} above 0")
        if extra := given - needs:
            raise ValueError(f"{self.kind.value} takes no {' and no '.join(sorted(extra))}")
        return self

    def concerns(self, connection: int) -> bool:
        """Whether the fault is one of that connection."""
        if isinstance(self.connection, list):
            return connection in self.connection
        return self.connection == "all" or self.connection == connection


class PlacedDatagramFault(PlacedFault):
    """`[[datagram]]`: for UDP; `connection` is the peer, `at` the datagram's number from 0."""

    needs: ClassVar[dict[Kind, set[str]]] = DATAGRAM_NEEDS


class RandomFaults(toml.Table):
    """`[[random]]`: each direction of each connection gets one of the kinds with that chance.

    Attributes:
        chance: above 0, at most 1.
        kinds: to choose from.
        direction: of the bytes.
        within: the offset is below this.
        size: range of bytes.
        ms: range of milliseconds.
        rate: range of bytes per second.
        first: connections from this number on.
    """

    needs: ClassVar[dict[Kind, set[str]]] = NEEDS
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
        """Raises ValueError where the range is empty or has values that are not allowed."""
        if not 1 <= value[0] <= value[1] <= MAX_SIZE:
            raise ValueError("a range is [least, most], both from 1 on")
        return value


class RandomDatagramFaults(RandomFaults):
    """`[[random_datagram]]`: each datagram gets one with that chance; `within` has no meaning."""

    needs: ClassVar[dict[Kind, set[str]]] = DATAGRAM_NEEDS


class FaultPlan(Protocol):
    """What a proxy asks for the faults of connections and datagrams."""

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """The faults of one TCP connection, sorted by direction and offset."""

    def for_datagram(self, peer: int, way: str, number: int, seed: int) -> list[Fault]:
        """The faults of one datagram, counted from 0 for each peer and direction."""

    def named(self) -> Sequence[PlacedFault | Fault]:
        """The faults at stated places."""


class Plan(toml.Table):
    """A plan's file; its tables are the attributes."""

    fault: list[PlacedFault] = []
    random: list[RandomFaults] = []
    datagram: list[PlacedDatagramFault] = []
    random_datagram: list[RandomDatagramFaults] = []

    @model_validator(mode="after")
    def check_kinds(self) -> "Plan":
        """Raises ValueError where a kind does not exist for TCP, or for UDP."""
        for name, allowed, entries in (
            ("fault", STREAMS, [[f.kind] for f in self.fault]),
            ("random", STREAMS, [r.kinds for r in self.random]),
            ("datagram", DATAGRAMS, [[f.kind] for f in self.datagram]),
            ("random_datagram", DATAGRAMS, [r.kinds for r in self.random_datagram]),
        ):
            for i, kinds in enumerate(entries):
                check_allowed(f"{name}[{i}]", kinds, allowed)
        return self

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """The faults of one TCP connection, sorted by direction and offset."""
        faults = []
        for i, placed in enumerate(self.fault):
            for way in ways(placed.direction) if placed.concerns(number) else ():
                chance = Random(f"{seed}/named/{i}/{number}/{way}")
                faults.append(placed_fault(placed, number, way, placed.at, chance))
        for i, drawn in enumerate(self.random):
            for way in ways(drawn.direction) if number >= drawn.first else ():
                chance = Random(f"{seed}/random/{i}/{number}/{way}")
                if chance.random() < drawn.chance:
                    at = chance.randrange(drawn.within)
                    faults.append(random_fault(drawn, number, way, at, chance))
        return sorted(faults, key=lambda f: f.place)

    def for_datagram(self, peer: int, way: str, number: int, seed: int) -> list[Fault]:
        """The faults of one datagram, counted from 0 for each peer and direction."""
        faults = []
        for i, placed in enumerate(self.datagram):
            if placed.concerns(peer) and way in ways(placed.direction) and placed.at == number:
                chance = Random(f"{seed}/datagram/{i}/{peer}/{way}")
                faults.append(placed_fault(placed, peer, way, number, chance))
        for i, drawn in enumerate(self.random_datagram):
            if way in ways(drawn.direction) and peer >= drawn.first:
                chance = Random(f"{seed}/random_datagram/{i}/{peer}/{way}/{number}")
                if chance.random() < drawn.chance:
                    faults.append(random_fault(drawn, peer, way, number, chance))
        return sorted(faults, key=lambda f: f.place)

    def named(self) -> Sequence[PlacedFault | Fault]:
        """The faults at stated places."""
        return [*self.fault, *self.datagram]


def check_allowed(place: str, kinds: list[Kind], allowed: frozenset[Kind]) -> None:
    """Raises ValueError where a kind is not allowed at that place of the plan."""
    for kind in kinds:
        if kind not in allowed:
            names = ", ".join(sorted(k.value for k in allowed))
            raise ValueError(f"{place}: {kind.value} is not one of {names}")


def ways(direction: str) -> tuple[str, ...]:
    """The directions that a plan's direction stands for."""
    return ("down", "up") if direction == "both" else (direction,)


def draw_mask(kind: Kind, chance: Random) -> int:
    """The seed for garbled bytes, 0 for other kinds."""
    return chance.randrange(1, 1 << 32) if kind is Kind.GARBLE else 0


def placed_fault(spec: PlacedFault, number: int, way: str, at: int, chance: Random) -> Fault:
    """The fault of one connection and direction at a stated place."""
    mask = draw_mask(spec.kind, chance)
    return Fault(number, way, at, spec.kind, spec.size, spec.ms, spec.rate, mask)


def random_fault(spec: RandomFaults, number: int, way: str, at: int, chance: Random) -> Fault:
    """A fault of one connection and direction with a drawn kind and drawn parameters."""
    kind = chance.choice(spec.kinds)
    drawn = {name: chance.randint(*getattr(spec, name)) for name in PARAMETERS}
    needs = spec.needs.get(kind, set())
    parameters = {name: value if name in needs else 0 for name, value in drawn.items()}
    return Fault(number, way, at, kind, **parameters, mask=draw_mask(kind, chance))


class Replay:
    """The faults of a record, at their places."""

    def __init__(self, faults: list[Fault]):
        """Takes the record's faults in any order."""
        self.faults = sorted(faults, key=lambda f: f.place)

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """The faults of one TCP connection, sorted by direction and offset."""
        return [fault for fault in self.faults if fault.connection == number]

    def for_datagram(self, peer: int, way: str, number: int, seed: int) -> list[Fault]:
        """The faults of one datagram, counted from 0 for each peer and direction."""
        return [f for f in self.faults if (f.connection, f.direction, f.at) == (peer, way, number)]

    def named(self) -> Sequence[PlacedFault | Fault]:
        """All faults: each stands at its place."""
        return self.faults


class Line(toml.Table):
    """A line of a record; its keys are a fault's attributes."""

    connection: int = Field(ge=1)
    direction: Literal["up", "down"]
    at: int = Field(ge=0)
    kind: Kind
    size: int = Field(0, ge=0)
    ms: int = Field(0, ge=0)
    rate: int = Field(0, ge=0)
    mask: int = Field(0, ge=0)


def read(path: str | Path) -> Plan:
    """Reads a plan. Raises CommandError with a line for each error."""
    return toml.read(path, Plan)


def read_record(path: str | Path) -> Replay:
    """Reads a record. Raises CommandError for the first line that is not one of a record."""
    faults = []
    try:
        with open(path, encoding="utf-8") as file:
            for number, text in enumerate(file, 1):
                faults.append(read_line(f"{path}: line {number}", text))
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}") from error
    return Replay(faults)


def read_line(place: str, text: str) -> Fault:
    """Reads one line of a record; `place` names it in the CommandError that is raised."""
    try:
        return Fault(**Line.model_validate(json.loads(text)).model_dump())
    except ValidationError as error:
        first = error.errors()[0]
        raise CommandError(
            f"{place}: {toml.field_path(first['loc'])}: {toml.error_message(first)}"
        ) from error
    except (ValueError, RecursionError) as error:
        raise CommandError(f"{place}: not JSON: {error}") from error
